package org.agatefield.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agatefield.configuration.ConfigurationFaultsException;
import org.agatefield.configuration.ConfigurationReader;
import org.agatefield.configuration.ConfigurationWriter;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.store.StoredObject;

/** Converts accepted documents to and from the content of stored objects. Stateless. */
final class ConfigurationCodec {
  private static final String DOCUMENT_FIELD = "document";

  private ConfigurationCodec() {}

  static JsonNode encode(ConfigurationDocument document) {
    ObjectNode content = JsonNodeFactory.instance.objectNode();
    content.set(DOCUMENT_FIELD, ConfigurationWriter.toTree(document));
    return content;
  }

  static ConfigurationDocument decode(StoredObject object) {
    try {
      return ConfigurationReader.parse(object.content().get(DOCUMENT_FIELD));
    } catch (ConfigurationFaultsException exception) {
      throw new IllegalStateException(
          object.key() + " does not contain a valid document: " + exception.getMessage(),
          exception);
    }
  }
}
