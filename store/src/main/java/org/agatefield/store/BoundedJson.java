package org.agatefield.store;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/**
 * Parses JSON from the store into trees of limited depth and size.
 *
 * <p>Invariants: a tree can be written, copied and compared recursively on a small stack; the
 * content of an object that cannot be parsed or exceeds the limits becomes null, and the other
 * objects of the same response are not affected; all trees of a response together take no more than
 * {@link #RESPONSE_HEAP_BYTES} of the heap. Stateless and safe for use by any thread.
 */
public final class BoundedJson {
  static final int MAXIMUM_NESTING = 64;
  static final long RESPONSE_HEAP_BYTES = 32 * 1_048_576;

  // A response holds a list of changes, each of which holds an object.
  private static final int ENVELOPE_NESTING = 4;
  // Names that other writers choose must not fill the virtual machine's table of constants.
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_NESTING).build())
          .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
          .build();

  private BoundedJson() {}

  /** Reads a value with a new parser. */
  @FunctionalInterface
  private interface Reading {
    JsonNode read(BoundedTreeReader reader) throws IOException;
  }

  /** The limits of one response. The allowance is shared by all parts that are parsed alone. */
  private record Response(byte[] bytes, ContentLimits limits, HeapAllowance allowance) {
    JsonNode read(int start, int end, Reading reading) throws IOException {
      try (JsonParser parser = FACTORY.createParser(bytes, start, end - start)) {
        return reading.read(new BoundedTreeReader(parser, limits, allowance));
      }
    }
  }

  /** Parses JSON that holds no objects, or one; empty if it is invalid or exceeds the limits. */
  static Optional<JsonNode> parse(byte[] bytes) {
    Optional<JsonNode> parsed = parseContent(bytes, ContentLimits.ORDINARY);
    return parsed.filter(tree -> !tree.isNull());
  }

  /** Parses a content; empty if it is invalid, null if it exceeds the limits. */
  public static Optional<JsonNode> parseContent(byte[] bytes, ContentLimits limits) {
    Response response = response(bytes, limits);
    try {
      return Optional.of(response.read(0, bytes.length, BoundedTreeReader::readContent));
    } catch (IOException exception) {
      return Optional.empty(); // The caller reports the failure.
    }
  }

  /**
   * Reads a content from a parser, which limits the nesting; the result is null if the content
   * exceeds the limits.
   *
   * @throws IOException if the content is invalid
   */
  public static JsonNode readContent(JsonParser parser, ContentLimits limits) throws IOException {
    HeapAllowance allowance = new HeapAllowance(RESPONSE_HEAP_BYTES);
    return new BoundedTreeReader(parser, limits, allowance).readContent();
  }

  /**
   * Parses objects, or changes of objects, each of which may be unreadable; empty if they cannot be
   * told apart.
   *
   * @throws StoreException {@link StoreFailure#TOO_LARGE} if they take too much memory together
   */
  static Optional<JsonNode> parseObjects(byte[] bytes, ContentLimits limits) {
    try {
      return Optional.of(
          response(bytes, limits)
              .read(0, bytes.length, reader -> reader.readObjects(ENVELOPE_NESTING)));
    } catch (BoundedTreeReader.ResponseTooLargeException exception) {
      throw tooLarge(exception);
    } catch (IOException exception) {
      return parseMembersOf(response(bytes, limits));
    }
  }

  private static Response response(byte[] bytes, ContentLimits limits) {
    return new Response(bytes, limits, new HeapAllowance(RESPONSE_HEAP_BYTES));
  }

  private static Optional<JsonNode> parseMembersOf(Response response) {
    try {
      return parseMembers(response, 0, response.bytes().length, ENVELOPE_NESTING);
    } catch (BoundedTreeReader.ResponseTooLargeException exception) {
      throw tooLarge(exception);
    }
  }

  private static StoreException tooLarge(BoundedTreeReader.ResponseTooLargeException cause) {
    return new StoreException(StoreFailure.TOO_LARGE, cause.getMessage(), cause);
  }

  private static Optional<JsonNode> parseMembers(Response response, int start, int end, int nesting)
      throws BoundedTreeReader.ResponseTooLargeException {
    Optional<JsonScanner.Container> container = JsonScanner.split(response.bytes(), start, end);
    return container.isEmpty()
        ? Optional.empty()
        : Optional.of(parseMembers(response, container.get(), nesting));
  }

  private static JsonNode parseMembers(
      Response response, JsonScanner.Container container, int nesting)
      throws BoundedTreeReader.ResponseTooLargeException {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    for (JsonScanner.Member member : container.members()) {
      JsonNode parsed = parseMember(response, member, nesting);
      if (container.array()) {
        array.add(parsed);
      } else {
        object.set(member.name(), parsed);
      }
    }
    return container.array() ? array : object;
  }

  private static JsonNode parseMember(Response response, JsonScanner.Member member, int nesting)
      throws BoundedTreeReader.ResponseTooLargeException {
    Reading reading =
        switch (member.name()) {
          case BoundedTreeReader.CONTENT_FIELD -> BoundedTreeReader::readContent;
          case BoundedTreeReader.METADATA_FIELD -> BoundedTreeReader::readMetadata;
          default -> reader -> reader.readObjects(Math.max(0, nesting - 1));
        };
    try {
      return response.read(member.start(), member.end(), reading);
    } catch (BoundedTreeReader.ResponseTooLargeException exception) {
      throw exception;
    } catch (IOException exception) {
      return nesting > 0 && mayBeSplit(member)
          ? parseMembers(response, member.start(), member.end(), nesting - 1)
              .orElse(NullNode.getInstance())
          : NullNode.getInstance();
    }
  }

  private static boolean mayBeSplit(JsonScanner.Member member) {
    return switch (member.name()) {
      case BoundedTreeReader.CONTENT_FIELD, BoundedTreeReader.STATUS_FIELD -> false;
      case BoundedTreeReader.METADATA_FIELD ->
          member.end() - member.start() <= BoundedTreeReader.METADATA_HEAP_BYTES;
      default -> true;
    };
  }
}
