package org.agatefield.store;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads objects of the store, or one content, from a parser into trees of bounded size.
 *
 * <p>Invariants: no node is created that its allowance does not cover, so that what is refused
 * costs its bytes and not its tree; a content or the metadata of an object that exceed their
 * allowance become null, and what follows is read; the parser limits the nesting. Confined to one
 * thread.
 */
final class BoundedTreeReader {
  static final String CONTENT_FIELD = "spec";

  /** The field of an object in which the system keeps nothing; it is not read. */
  static final String STATUS_FIELD = "status";

  static final String METADATA_FIELD = "metadata";
  // A name, a version and the identifiers of sixteen writes.
  static final int METADATA_HEAP_BYTES = 8_192;

  private final JsonParser parser;
  private final ContentLimits limits;
  private final HeapAllowance response;
  private HeapAllowance allowance;

  /** Thrown if all trees of a response together exceed their allowance. */
  static final class ResponseTooLargeException extends IOException {
    private static final long serialVersionUID = 1;

    ResponseTooLargeException() {
      super("the response takes more of the heap than is allowed");
    }
  }

  /**
   * Creates a reader.
   *
   * @param response the allowance of all trees of the response
   */
  BoundedTreeReader(JsonParser parser, ContentLimits limits, HeapAllowance response) {
    this.parser = parser;
    this.limits = limits;
    this.response = response;
    this.allowance = response;
  }

  /**
   * Reads a value that holds objects of the store.
   *
   * @param nesting how deeply the objects may lie in it
   */
  JsonNode readObjects(int nesting) throws IOException {
    return parser.nextToken() == null ? MissingNode.getInstance() : readEnvelope(nesting);
  }

  /** Reads a content; the result is null if it exceeds the limits. */
  JsonNode readContent() throws IOException {
    return parser.nextToken() == null ? MissingNode.getInstance() : readLimitedContent();
  }

  /** Reads the metadata of an object; the result is null if they exceed their allowance. */
  JsonNode readMetadata() throws IOException {
    return parser.nextToken() == null ? MissingNode.getInstance() : readWithin(METADATA_HEAP_BYTES);
  }

  private JsonNode readEnvelope(int nesting) throws IOException {
    JsonToken token = parser.currentToken();
    if (nesting == 0 || !token.isStructStart()) {
      return readWithin(METADATA_HEAP_BYTES);
    }
    if (token == JsonToken.START_ARRAY) {
      require(response.takeArray());
      ArrayNode array = JsonNodeFactory.instance.arrayNode();
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        require(response.takeElement());
        array.add(readEnvelope(nesting - 1));
      }
      return array;
    }
    require(response.takeObject());
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      require(response.takeField(name));
      JsonToken value = parser.nextToken();
      if (name.equals(STATUS_FIELD) && value.isStructStart()) {
        parser.skipChildren();
      } else {
        object.set(name, readMember(name, nesting - 1));
      }
    }
    return object;
  }

  private JsonNode readMember(String name, int nesting) throws IOException {
    return switch (name) {
      case CONTENT_FIELD -> readLimitedContent();
      case METADATA_FIELD -> readWithin(METADATA_HEAP_BYTES);
      default -> readEnvelope(nesting);
    };
  }

  private JsonNode readLimitedContent() throws IOException {
    boolean allFields = limits.fields().isEmpty() || !parser.isExpectedStartObjectToken();
    allowance = new HeapAllowance(Math.min(limits.heapBytes(), response.remaining()));
    long before = allowance.remaining();
    return charge(before, allFields ? readValue() : readSelectedFields());
  }

  private JsonNode readWithin(long heapBytes) throws IOException {
    allowance = new HeapAllowance(Math.min(heapBytes, response.remaining()));
    long before = allowance.remaining();
    return charge(before, readValue());
  }

  /** Charges the response with a value that was read; returns null in place of a refused one. */
  private JsonNode charge(long allowed, JsonNode value) throws IOException {
    if (allowance.exceeded()) {
      require(allowed < response.remaining());
      return NullNode.getInstance();
    }
    require(response.take(allowed - allowance.remaining()));
    return value;
  }

  private static void require(boolean granted) throws ResponseTooLargeException {
    if (!granted) {
      throw new ResponseTooLargeException();
    }
  }

  private JsonNode readSelectedFields() throws IOException {
    allowance.takeObject();
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      if (limits.reads(name)) {
        readField(object, name);
      } else {
        parser.skipChildren();
      }
    }
    return object;
  }

  /** Reads the current value; what exceeds the allowance is consumed without creating nodes. */
  private JsonNode readValue() throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject();
      case START_ARRAY -> readArray();
      case VALUE_STRING -> readText();
      case VALUE_TRUE -> BooleanNode.TRUE;
      case VALUE_FALSE -> BooleanNode.FALSE;
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> readNumber();
      default -> NullNode.getInstance();
    };
  }

  private JsonNode readObject() throws IOException {
    boolean granted = allowance.takeObject();
    ObjectNode object = granted ? JsonNodeFactory.instance.objectNode() : null;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      readField(object, name);
    }
    return granted ? object : NullNode.getInstance();
  }

  private void readField(ObjectNode object, String name) throws IOException {
    boolean granted = allowance.takeField(name);
    JsonNode value = readValue();
    if (granted && object != null && !allowance.exceeded()) {
      object.set(name, value);
    }
  }

  private JsonNode readArray() throws IOException {
    boolean granted = allowance.takeArray();
    ArrayNode array = granted ? JsonNodeFactory.instance.arrayNode() : null;
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      boolean grantedElement = allowance.takeElement();
      JsonNode value = readValue();
      if (grantedElement && !allowance.exceeded()) {
        array.add(value);
      }
    }
    return granted ? array : NullNode.getInstance();
  }

  private JsonNode readText() throws IOException {
    boolean granted = allowance.takeText(parser.getTextLength());
    return granted ? JsonNodeFactory.instance.textNode(parser.getText()) : NullNode.getInstance();
  }

  private JsonNode readNumber() throws IOException {
    if (!allowance.takeScalar() || !allowance.take(parser.getTextLength())) {
      return NullNode.getInstance();
    }
    JsonNodeFactory nodes = JsonNodeFactory.instance;
    return switch (parser.getNumberType()) {
      case INT -> nodes.numberNode(parser.getIntValue());
      case LONG -> nodes.numberNode(parser.getLongValue());
      case BIG_INTEGER -> nodes.numberNode(parser.getBigIntegerValue());
      default -> nodes.numberNode(parser.getDoubleValue());
    };
  }
}
