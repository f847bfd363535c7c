package org.agatefield.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Stores the objects of the stand-in store, with versions, conditional writes and a change log.
 *
 * <p>Invariants: every write to any kind increases the version, and no version is reused within an
 * era; {@link #restore} begins a new one; the log holds the latest changes in order. All state is
 * guarded by the table's lock. Observers are called while the lock is held, in the order of the
 * changes.
 */
public final class ObjectTable {
  /** The largest body of a write, in bytes. */
  public static final int MAXIMUM_OBJECT_BYTES = 1_048_576;

  private static final int RETAINED_CHANGES = 10_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Map<String, NavigableMap<String, ObjectNode>> objects = new HashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private final List<Consumer<Change>> observers = new ArrayList<>();
  private long version;
  private long compactedVersion;
  private long era;

  /**
   * A change of an object. Immutable as long as {@code object} is not modified.
   *
   * @param type ADDED, MODIFIED or DELETED
   */
  public record Change(long version, String plural, String type, ObjectNode object) {}

  /**
   * The response to a call. Immutable as long as {@code body} is not modified.
   *
   * @param status the HTTP status
   * @param body an object, a list or a status
   */
  public record Result(int status, JsonNode body) {}

  /** The contents of a table at one time. */
  public static final class Copy {
    private final Map<String, NavigableMap<String, ObjectNode>> objects = new HashMap<>();
    private final long version;

    private Copy(Map<String, NavigableMap<String, ObjectNode>> objects, long version) {
      objects.forEach((plural, named) -> this.objects.put(plural, new TreeMap<>(named)));
      this.version = version;
    }
  }

  /** Returns the present contents; the store names its era from now on. */
  public synchronized Copy copy() {
    era = Math.max(1, era);
    return new Copy(objects, version);
  }

  /** Comes back from a copy in a new era, in which versions are given out again. */
  public synchronized void restore(Copy copy) {
    objects.clear();
    objects.putAll(new Copy(copy.objects, copy.version).objects);
    version = copy.version;
    compact();
    era++;
  }

  /** Returns the era, which each restore raises; 0 if the store names none. */
  public synchronized long era() {
    return era;
  }

  /** Returns an object. */
  public synchronized Result get(String plural, String name) {
    ObjectNode found = kind(plural).get(name);
    return found == null ? notFound(plural, name) : new Result(200, found.deepCopy());
  }

  /** Creates an object if no object of that name exists. */
  public synchronized Result create(String plural, JsonNode body, int bytes) {
    String name = body.path("metadata").path("name").asText();
    if (bytes > MAXIMUM_OBJECT_BYTES) {
      return status(413, "RequestEntityTooLarge", plural + "/" + name);
    }
    if (name.isEmpty() || !body.isObject()) {
      return status(422, "Invalid", plural + ": metadata.name is missing");
    }
    if (kind(plural).containsKey(name)) {
      return status(409, "AlreadyExists", plural + "/" + name);
    }
    return store(plural, name, body, "ADDED", 201);
  }

  /** Replaces an object if its version matches the one in the body, if any. */
  public synchronized Result update(String plural, String name, JsonNode body, int bytes) {
    ObjectNode found = kind(plural).get(name);
    if (bytes > MAXIMUM_OBJECT_BYTES) {
      return status(413, "RequestEntityTooLarge", plural + "/" + name);
    }
    if (found == null) {
      return notFound(plural, name);
    }
    String expected = body.path("metadata").path("resourceVersion").asText();
    if (!expected.isEmpty() && !expected.equals(versionOf(found))) {
      return status(409, "Conflict", plural + "/" + name);
    }
    return store(plural, name, body, "MODIFIED", 200);
  }

  /** Deletes an object if its version matches the one in the preconditions, if any. */
  public synchronized Result delete(String plural, String name, JsonNode options) {
    ObjectNode found = kind(plural).get(name);
    if (found == null) {
      return notFound(plural, name);
    }
    String expected = options.path("preconditions").path("resourceVersion").asText();
    if (!expected.isEmpty() && !expected.equals(versionOf(found))) {
      return status(409, "Conflict", plural + "/" + name);
    }
    kind(plural).remove(name);
    version++;
    ObjectNode last = found.deepCopy();
    ((ObjectNode) last.path("metadata")).put("resourceVersion", Long.toString(version));
    record(new Change(version, plural, "DELETED", last));
    return status(200, "", plural + "/" + name);
  }

  /**
   * Lists the objects of a kind in the order of their names.
   *
   * @param limit the maximum number of objects, or 0 for all
   * @param after only names after this one
   */
  public synchronized Result list(String plural, int limit, String after) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("kind", "List").put("apiVersion", "agatefield.org/v1");
    ObjectNode metadata = root.putObject("metadata").put("resourceVersion", "" + version);
    ArrayNode items = root.putArray("items");
    for (ObjectNode object : kind(plural).tailMap(after, false).values()) {
      if (limit > 0 && items.size() == limit) {
        JsonNode last = items.get(limit - 1);
        metadata.put("continue", last.path("metadata").path("name").asText());
        break;
      }
      items.add(object.deepCopy());
    }
    return new Result(200, root);
  }

  /**
   * Calls {@code observer} with every change after a version; past changes are reported at once.
   *
   * @return false if the changes after that version are no longer retained
   */
  public synchronized boolean observe(long fromVersion, Consumer<Change> observer) {
    if (fromVersion < compactedVersion || fromVersion > version) {
      return false;
    }
    changes.stream().filter(change -> change.version() > fromVersion).forEach(observer);
    observers.add(observer);
    return true;
  }

  /** Removes an observer. */
  public synchronized void stopObserving(Consumer<Change> observer) {
    observers.remove(observer);
  }

  /** Discards all past changes, so that watches from earlier versions are refused as expired. */
  public synchronized void compact() {
    changes.clear();
    compactedVersion = version;
  }

  /** Returns the latest version. */
  public synchronized long version() {
    return version;
  }

  /** Returns a response with a Kubernetes status object. */
  public static Result status(int code, String reason, String message) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("kind", "Status").put("apiVersion", "v1");
    root.put("status", code < 300 ? "Success" : "Failure");
    root.put("reason", reason).put("code", code).put("message", message);
    return new Result(code, root);
  }

  private Result store(String plural, String name, JsonNode body, String type, int code) {
    version++;
    ObjectNode stored = body.deepCopy();
    ObjectNode metadata = stored.withObject("/metadata");
    metadata.put("name", name).put("resourceVersion", Long.toString(version));
    kind(plural).put(name, stored);
    record(new Change(version, plural, type, stored.deepCopy()));
    return new Result(code, stored.deepCopy());
  }

  private void record(Change change) {
    changes.addLast(change);
    if (changes.size() > RETAINED_CHANGES) {
      compactedVersion = changes.removeFirst().version();
    }
    List.copyOf(observers).forEach(observer -> observer.accept(change));
  }

  private NavigableMap<String, ObjectNode> kind(String plural) {
    return objects.computeIfAbsent(plural, created -> new TreeMap<>());
  }

  private static Result notFound(String plural, String name) {
    return status(404, "NotFound", plural + "/" + name);
  }

  private static String versionOf(ObjectNode object) {
    return object.path("metadata").path("resourceVersion").asText();
  }
}
