package org.agatefield.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Validates a JSON tree against the JSON schema of documents. Safe for use by any thread. */
final class DocumentSchema {
  private static final String RESOURCE = "configuration-schema.json";
  private static final String CALLERS = "$.callers";
  private static final int MAXIMUM_FOUND_CHARACTERS = 80;
  private static final JsonSchema SCHEMA = load();

  private DocumentSchema() {}

  static List<ConfigurationFault> check(JsonNode root) {
    List<ConfigurationFault> faults = new ArrayList<>();
    for (ValidationMessage message : SCHEMA.validate(root)) {
      faults.add(toFault(message));
    }
    return faults;
  }

  private static ConfigurationFault toFault(ValidationMessage message) {
    String path = message.getInstanceLocation().toString();
    String property = message.getProperty();
    if (property != null && message.getType().equals("additionalProperties")) {
      return new ConfigurationFault(path + "." + property, "an unknown field", "remove it");
    }
    if (property != null && message.getType().equals("required")) {
      return new ConfigurationFault(path + "." + property, "nothing", "the field is required");
    }
    String prefix = path + ": ";
    String text = message.getMessage();
    String rule = text.startsWith(prefix) ? text.substring(prefix.length()) : text;
    return new ConfigurationFault(path, describe(path, message.getInstanceNode()), rule);
  }

  /** Quotes what was found, unless it may be the token of a caller in place of its hash. */
  private static String describe(String path, JsonNode found) {
    boolean secret = path.startsWith(CALLERS) && found != null && !found.isNumber();
    return secret ? "a value that is not quoted here" : shorten(found);
  }

  private static String shorten(JsonNode found) {
    String text = found == null ? "nothing" : found.toString();
    if (text.length() <= MAXIMUM_FOUND_CHARACTERS) {
      return text;
    }
    return text.substring(0, MAXIMUM_FOUND_CHARACTERS) + "...";
  }

  private static JsonSchema load() {
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder()
            .locale(Locale.ENGLISH)
            .pathType(PathType.LEGACY)
            .failFast(false)
            .build();
    try (InputStream stream = DocumentSchema.class.getResourceAsStream(RESOURCE)) {
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
          .getSchema(stream, config);
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
