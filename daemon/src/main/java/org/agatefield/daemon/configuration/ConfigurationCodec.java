package org.agatefield.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.agatefield.configuration.ConfigurationFaultsException;
import org.agatefield.configuration.ConfigurationReader;
import org.agatefield.configuration.ConfigurationWriter;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.store.StoredObject;

/** Maps accepted documents to the content of objects and back. Has no state. */
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
          object.key() + " holds no document: " + exception.getMessage(), exception);
    }
  }
}
