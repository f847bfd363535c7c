package org.agatefield.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;

/**
 * Extracts the fields that the client needs from one JSON object of a response, in one pass.
 *
 * <p>Invariant: an object is accepted only if it is complete and nothing follows it. A scanner is
 * used for one object; not safe for use by several threads.
 */
final class AnswerScanner {
  private static final JsonFactory FACTORY = new JsonFactory();

  private ByteRange id = ByteRange.NONE;
  private ByteRange model = ByteRange.NONE;
  private String idText = "";
  private String requestId = "";
  private boolean finished;
  private boolean hasContent;
  private boolean hasError;

  private AnswerScanner() {}

  /**
   * Scans an object.
   *
   * @throws IOException if {@code data} is not exactly one JSON object
   */
  static AnswerScanner scan(Buffer data) throws IOException {
    AnswerScanner scanner = new AnswerScanner();
    try (JsonParser parser = FACTORY.createParser(data.getBytes())) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("not a JSON object");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        scanner.readField(parser);
      }
      if (parser.nextToken() != null) {
        throw new IOException("unexpected data after the JSON object");
      }
    }
    return scanner;
  }

  ByteRange id() {
    return id;
  }

  ByteRange model() {
    return model;
  }

  /** Returns the top-level {@code id}; empty if there is none. */
  String idText() {
    return idText;
  }

  /** Returns the top-level {@code request_id}; empty if there is none. */
  String requestId() {
    return requestId;
  }

  boolean finished() {
    return finished;
  }

  boolean hasContent() {
    return hasContent;
  }

  boolean hasError() {
    return hasError;
  }

  private void readField(JsonParser parser) throws IOException {
    String name = parser.currentName();
    JsonToken value = parser.nextToken();
    switch (name) {
      case "id" -> {
        idText = parser.getText();
        id = tokenRange(parser);
      }
      case "request_id" -> requestId = parser.getText();
      case "model" -> {
        parser.getText();
        model = tokenRange(parser);
      }
      case "choices" -> readChoices(parser);
      case "error" -> {
        hasError = value != JsonToken.VALUE_NULL;
        parser.skipChildren();
      }
      default -> parser.skipChildren();
    }
  }

  private static ByteRange tokenRange(JsonParser parser) {
    return new ByteRange(
        (int) parser.currentTokenLocation().getByteOffset(),
        (int) parser.currentLocation().getByteOffset());
  }

  private void readChoices(JsonParser parser) throws IOException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      return;
    }
    while (parser.nextToken() == JsonToken.START_OBJECT) {
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        readChoiceField(parser);
      }
    }
  }

  private void readChoiceField(JsonParser parser) throws IOException {
    String name = parser.currentName();
    JsonToken value = parser.nextToken();
    switch (name) {
      case "finish_reason" -> finished |= value == JsonToken.VALUE_STRING;
      case "text" -> hasContent |= value == JsonToken.VALUE_STRING && parser.getTextLength() > 0;
      case "delta" -> readDelta(parser);
      default -> parser.skipChildren();
    }
  }

  private void readDelta(JsonParser parser) throws IOException {
    if (parser.currentToken() != JsonToken.START_OBJECT) {
      return;
    }
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      JsonToken value = parser.nextToken();
      if (name.equals("content")) {
        hasContent |= value == JsonToken.VALUE_STRING && parser.getTextLength() > 0;
      } else if (name.equals("tool_calls")) {
        hasContent |= value == JsonToken.START_ARRAY;
      }
      parser.skipChildren();
    }
  }
}
