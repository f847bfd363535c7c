package org.agatefield.store;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/**
 * Parses JSON from the store into trees of limited depth.
 *
 * <p>Invariants: a tree can be written, copied and compared recursively on a small stack; the
 * content of an object that cannot be parsed or exceeds the limits becomes null, and the other
 * objects of the same response are not affected. Stateless and safe for use by any thread.
 */
final class BoundedJson {
  static final int MAXIMUM_NESTING = 64;

  /** The field that holds the content of an object. */
  static final String CONTENT_FIELD = "spec";

  // A response holds a list of changes, each of which holds an object.
  private static final int ENVELOPE_NESTING = 4;
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
          JsonFactory.builder()
              .streamReadConstraints(
                  StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_NESTING).build())
              .build());

  private BoundedJson() {}

  /** Parses JSON; empty if it is invalid or exceeds the limits. */
  static Optional<JsonNode> parse(byte[] bytes) {
    return parseWithinLimits(bytes, 0, bytes.length);
  }

  /**
   * Parses objects, or changes of objects, each of which may be unreadable; empty if they cannot be
   * told apart.
   */
  static Optional<JsonNode> parseObjects(byte[] bytes) {
    return parse(bytes).or(() -> parseMembers(bytes, 0, bytes.length, ENVELOPE_NESTING));
  }

  private static Optional<JsonNode> parseWithinLimits(byte[] bytes, int start, int end) {
    try {
      return Optional.ofNullable(MAPPER.readTree(bytes, start, end - start));
    } catch (IOException exception) {
      return Optional.empty(); // The caller parses its members one by one or reports the failure.
    }
  }

  private static Optional<JsonNode> parseMembers(byte[] bytes, int start, int end, int nesting) {
    return JsonScanner.split(bytes, start, end)
        .map(container -> parseMembers(bytes, container, nesting));
  }

  private static JsonNode parseMembers(byte[] bytes, JsonScanner.Container container, int nesting) {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    for (JsonScanner.Member member : container.members()) {
      JsonNode parsed = parseMember(bytes, member, nesting);
      if (container.array()) {
        array.add(parsed);
      } else {
        object.set(member.name(), parsed);
      }
    }
    return container.array() ? array : object;
  }

  private static JsonNode parseMember(byte[] bytes, JsonScanner.Member member, int nesting) {
    Optional<JsonNode> parsed = parseWithinLimits(bytes, member.start(), member.end());
    if (parsed.isEmpty() && nesting > 0 && !member.name().equals(CONTENT_FIELD)) {
      parsed = parseMembers(bytes, member.start(), member.end(), nesting - 1);
    }
    return parsed.orElse(NullNode.getInstance());
  }
}
