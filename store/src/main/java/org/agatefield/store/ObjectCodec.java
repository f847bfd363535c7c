package org.agatefield.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Converts between {@link StoredObject} and the JSON of the Kubernetes API conventions.
 *
 * <p>Write identifiers are stored in one annotation, newest first, separated by commas. Stateless
 * and safe for use by any thread.
 */
final class ObjectCodec {
  static final String API_VERSION = "agatefield.org/v1";
  static final int MAXIMUM_WRITE_IDENTIFIERS = 16;

  private static final String WRITES_ANNOTATION = "agatefield.org/writes";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ObjectCodec() {}

  /** Returns the body of a create. */
  static Buffer encodeNew(ObjectKey key, String writeIdentifier, JsonNode content) {
    return encode(key, Optional.empty(), List.of(writeIdentifier), content);
  }

  /** Returns the body of an update. */
  static Buffer encodeUpdate(StoredObject previous, String writeIdentifier, JsonNode content) {
    List<String> identifiers = new ArrayList<>();
    identifiers.add(writeIdentifier);
    identifiers.addAll(previous.writeIdentifiers());
    if (identifiers.size() > MAXIMUM_WRITE_IDENTIFIERS) {
      identifiers = identifiers.subList(0, MAXIMUM_WRITE_IDENTIFIERS);
    }
    return encode(previous.key(), Optional.of(previous.resourceVersion()), identifiers, content);
  }

  /** Returns the body of a conditional delete. */
  static Buffer encodeDelete(StoredObject previous) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("kind", "DeleteOptions");
    root.put("apiVersion", "v1");
    root.putObject("preconditions").put("resourceVersion", previous.resourceVersion());
    return Buffer.buffer(root.toString());
  }

  /** Parses JSON; empty if {@code body} is not valid JSON or exceeds the limits of a tree. */
  static Optional<JsonNode> parse(Buffer body) {
    return BoundedJson.parse(body.getBytes());
  }

  /**
   * Parses a page, or changes of objects; empty if the objects cannot be told apart.
   *
   * <p>The content of an object that cannot be read or exceeds the limits is null; it hides no
   * other object.
   */
  static Optional<JsonNode> parseObjects(Buffer body, ContentLimits limits) {
    return BoundedJson.parseObjects(body.getBytes(), limits);
  }

  /** Decodes an object; empty if {@code root} is not an object of the store. */
  static Optional<StoredObject> decode(ObjectKind kind, JsonNode root) {
    JsonNode metadata = root.path("metadata");
    String name = metadata.path("name").asText();
    String version = metadata.path("resourceVersion").asText();
    if (name.isEmpty() || version.isEmpty()) {
      return Optional.empty();
    }
    String writes = metadata.path("annotations").path(WRITES_ANNOTATION).asText();
    List<String> identifiers = writes.isEmpty() ? List.of() : List.of(writes.split(","));
    return Optional.of(
        new StoredObject(new ObjectKey(kind, name), version, identifiers, root.path("spec")));
  }

  /** Decodes a page of a list; empty if {@code root} is not a page. */
  static Optional<ObjectPage> decodePage(ObjectKind kind, JsonNode root) {
    String version = root.path("metadata").path("resourceVersion").asText();
    if (version.isEmpty() || !root.path("items").isArray()) {
      return Optional.empty();
    }
    List<StoredObject> objects = new ArrayList<>();
    for (JsonNode item : root.path("items")) {
      decode(kind, item).ifPresent(objects::add);
    }
    String next = root.path("metadata").path("continue").asText();
    Optional<String> continueToken = next.isEmpty() ? Optional.empty() : Optional.of(next);
    return Optional.of(new ObjectPage(new ObjectList(version, objects), continueToken));
  }

  /** Returns the canonical name of a kind, such as {@code Claim}. */
  static String kindName(ObjectKind kind) {
    String name = kind.name();
    return name.charAt(0) + name.substring(1).toLowerCase(Locale.ROOT);
  }

  private static Buffer encode(
      ObjectKey key, Optional<String> version, List<String> identifiers, JsonNode content) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("kind", kindName(key.kind()));
    root.put("apiVersion", API_VERSION);
    ObjectNode metadata = root.putObject("metadata");
    metadata.put("name", key.name());
    version.ifPresent(known -> metadata.put("resourceVersion", known));
    metadata.putObject("annotations").put(WRITES_ANNOTATION, String.join(",", identifiers));
    root.set("spec", content);
    try {
      return Buffer.buffer(MAPPER.writeValueAsBytes(root));
    } catch (JsonProcessingException exception) {
      throw new IllegalArgumentException("content of " + key + " is not JSON", exception);
    }
  }
}
