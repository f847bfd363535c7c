package org.agatefield.daemon.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.agatefield.daemon.http.GenerationBody.BodyRange;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Parses and validates the body of a model request in one pass, without building a JSON tree.
 *
 * <p>Each reader is used for one body, by one thread.
 */
final class GenerationBodyReader {
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();
  private static final int DEFAULT_MAXIMUM_TOKENS = 256;
  private static final int BYTES_PER_TOKEN = 4;
  private static final int PREFIX_BYTES = 256;
  private static final int MAXIMUM_PREFIXES = 64;
  private static final int MAXIMUM_CHOICES = 128;

  private final byte[] bytes;
  private final String promptField;
  private String model = "";
  private BodyRange modelValue = BodyRange.NONE;
  private BodyRange seedValue = BodyRange.NONE;
  private BodyRange priorityValue = BodyRange.NONE;
  private BodyRange prompt = BodyRange.NONE;
  private boolean stream;
  private int choices = 1;
  private int maximumTokens = DEFAULT_MAXIMUM_TOKENS;

  private GenerationBodyReader(byte[] bytes, String promptField) {
    this.bytes = bytes;
    this.promptField = promptField;
  }

  /**
   * Reads a body.
   *
   * @param promptField {@code messages} or {@code prompt}
   * @throws AgatefieldException of kind INVALID_REQUEST that names the field and the rule
   */
  static GenerationBody read(Buffer raw, String promptField) {
    GenerationBodyReader reader = new GenerationBodyReader(raw.getBytes(), promptField);
    try {
      reader.parse();
    } catch (IOException exception) {
      throw new AgatefieldException(
          ErrorKind.INVALID_REQUEST, "body: not valid JSON: " + firstLine(exception), exception);
    }
    return reader.result(raw);
  }

  private static String firstLine(IOException exception) {
    return String.valueOf(exception.getMessage()).lines().findFirst().orElse("");
  }

  private void parse() throws IOException {
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw invalid("body", "must be a JSON object");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        readField(parser);
      }
      if (parser.nextToken() != null) {
        throw invalid("body", "must be one JSON object and nothing after it");
      }
    }
  }

  private void readField(JsonParser parser) throws IOException {
    String name = parser.currentName();
    JsonToken value = parser.nextToken();
    if (name.equals(promptField)) {
      readPrompt(parser, value);
      return;
    }
    switch (name) {
      case "model" -> readModel(parser, value);
      case "stream" -> stream = readStream(value);
      case "max_tokens", "max_completion_tokens" -> maximumTokens = readCount(parser, name, value);
      case "n" -> choices = Math.min(MAXIMUM_CHOICES, readCount(parser, name, value));
      case "seed" -> seedValue = value == JsonToken.VALUE_NULL ? BodyRange.NONE : range(parser);
      case "priority" -> priorityValue = scalarRange(parser, name, value);
      case "continue_from_token" -> throw invalid(name, "is not allowed");
      default -> parser.skipChildren();
    }
  }

  private void readModel(JsonParser parser, JsonToken value) throws IOException {
    if (value != JsonToken.VALUE_STRING || parser.getText().isEmpty()) {
      throw invalid("model", "must be a string that is not empty");
    }
    model = parser.getText();
    modelValue = range(parser);
  }

  private static boolean readStream(JsonToken value) {
    if (value == JsonToken.VALUE_NULL) {
      return false;
    }
    if (!value.isBoolean()) {
      throw invalid("stream", "must be true or false");
    }
    return value == JsonToken.VALUE_TRUE;
  }

  private int readCount(JsonParser parser, String name, JsonToken value) throws IOException {
    if (value == JsonToken.VALUE_NULL) {
      return name.equals("n") ? 1 : maximumTokens;
    }
    if (value != JsonToken.VALUE_NUMBER_INT || !isPositiveInt(parser)) {
      throw invalid(name, "must be a whole number of 1 or more");
    }
    return parser.getIntValue();
  }

  private static boolean isPositiveInt(JsonParser parser) throws IOException {
    return parser.getNumberType() == JsonParser.NumberType.INT && parser.getIntValue() > 0;
  }

  private void readPrompt(JsonParser parser, JsonToken value) throws IOException {
    boolean isChat = promptField.equals("messages");
    boolean allowed =
        value == JsonToken.START_ARRAY || (!isChat && value == JsonToken.VALUE_STRING);
    if (!allowed) {
      throw invalid(promptField, isChat ? "must be an array" : "must be a string or an array");
    }
    int start = (int) parser.currentTokenLocation().getByteOffset();
    parser.skipChildren();
    parser.finishToken();
    prompt = new BodyRange(start, (int) parser.currentLocation().getByteOffset());
    if (value == JsonToken.START_ARRAY && prompt.end() - start <= 2) {
      throw invalid(promptField, "must not be empty");
    }
  }

  private static BodyRange scalarRange(JsonParser parser, String name, JsonToken value)
      throws IOException {
    if (!value.isScalarValue()) {
      throw invalid(name, "must be a whole number");
    }
    return range(parser);
  }

  private static BodyRange range(JsonParser parser) throws IOException {
    parser.finishToken();
    int start = (int) parser.currentTokenLocation().getByteOffset();
    return new BodyRange(start, start + lengthOf(parser, start));
  }

  /**
   * Numbers are measured by their text, since the parser may already have consumed the byte after a
   * number.
   */
  private static int lengthOf(JsonParser parser, int start) throws IOException {
    if (parser.currentToken() == JsonToken.VALUE_STRING) {
      return (int) parser.currentLocation().getByteOffset() - start;
    }
    return parser.getTextLength();
  }

  private GenerationBody result(Buffer raw) {
    if (modelValue.isEmpty()) {
      throw invalid("model", "is missing");
    }
    if (prompt.isEmpty()) {
      throw invalid(promptField, "is missing");
    }
    int promptTokens = 1 + (prompt.end() - prompt.start()) / BYTES_PER_TOKEN;
    return new GenerationBody(
        raw,
        model,
        modelValue,
        seedValue,
        priorityValue,
        stream,
        choices,
        maximumTokens,
        promptTokens,
        prefixHashes());
  }

  private List<Long> prefixHashes() {
    List<Long> hashes = new ArrayList<>();
    long hash = 0;
    for (int start = prompt.start();
        start < prompt.end() && hashes.size() < MAXIMUM_PREFIXES;
        start += PREFIX_BYTES) {
      int length = Math.min(PREFIX_BYTES, prompt.end() - start);
      hash = 31 * hash + MurmurHash3.hash128x64(bytes, start, length, 0)[0];
      hashes.add(hash);
    }
    return hashes;
  }

  private static AgatefieldException invalid(String readField, String rule) {
    return new AgatefieldException(ErrorKind.INVALID_REQUEST, readField + ": " + rule);
  }
}
