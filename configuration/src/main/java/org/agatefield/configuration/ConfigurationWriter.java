package org.agatefield.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.agatefield.model.ConfigurationDocument;

/**
 * Writes documents as canonical JSON: all fields that have a value, in the order of the record
 * components.
 *
 * <p>Invariant: equal documents yield equal text, from which {@link ConfigurationReader} reads an
 * equal document. Safe for use by any thread.
 */
public final class ConfigurationWriter {
  private ConfigurationWriter() {}

  /** Returns the document as a JSON tree. */
  public static JsonNode toTree(ConfigurationDocument document) {
    return DocumentMapper.MAPPER.valueToTree(document);
  }

  /** Returns the document as indented JSON text. */
  public static String toText(ConfigurationDocument document) {
    try {
      return DocumentMapper.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document);
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException(
          "the configuration document cannot be written as JSON", exception);
    }
  }
}
