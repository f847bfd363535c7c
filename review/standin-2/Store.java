import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as PROTOCOL.md describes it: objects by kind and name, one revision counter,
 * conditional writes, lists and watches. Thread-safe.
 */
final class Store implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String BASE = "/api/objects/";
  // PROTOCOL.md: "about 500 or 1 MB at most".
  private static final int MAXIMUM_ITEMS = 500;
  private static final int MAXIMUM_BYTES = 1_048_576;

  private static final String RUNNERS = "servers";
  private static final long HEARTBEATS_OF_SILENCE = 3;

  private final Map<String, ObjectNode> objects = new TreeMap<>(); // By KIND/NAME.
  private final Map<String, Long> writtenAt = new TreeMap<>(); // Of the entries of runners.
  private final List<Event> events = new ArrayList<>();
  private final Http.Server server;
  private long revision = 100;

  private static final class Event {
    final long revision;
    final String kind;
    final ObjectNode json;

    Event(long revision, String kind, ObjectNode json) {
      this.revision = revision;
      this.kind = kind;
      this.json = json;
    }
  }

  /** Creates a store that removes entries of runners which are not written often enough. */
  Store(String address, long heartbeatMilliseconds) throws IOException {
    server = new Http.Server(address, this::answer);
    Http.daemon("expiry", () -> expire(HEARTBEATS_OF_SILENCE * heartbeatMilliseconds));
  }

  private void expire(long silenceMilliseconds) {
    try {
      while (true) {
        Runner.pause(100);
        synchronized (this) {
          long oldest = System.nanoTime() - silenceMilliseconds * 1_000_000L;
          for (String name : List.copyOf(writtenAt.keySet())) {
            if (writtenAt.get(name) < oldest) {
              delete(RUNNERS, name);
            }
          }
        }
      }
    } catch (IOException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  String address() {
    return server.address();
  }

  /** Writes an object as the operator and the runners do. */
  synchronized void put(String kind, String name, String spec) throws IOException {
    if (kind.equals(RUNNERS)) {
      writtenAt.put(name, System.nanoTime());
    }
    replace(kind, name, JSON.readTree(spec));
  }

  synchronized void delete(String kind, String name) {
    if (kind.equals(RUNNERS)) {
      writtenAt.remove(name);
    }
    ObjectNode removed = objects.remove(kind + "/" + name);
    if (removed != null) {
      revision++;
      event(kind, removed, true);
    }
  }

  private ObjectNode replace(String kind, String name, JsonNode spec) {
    ObjectNode before = objects.get(kind + "/" + name);
    if (before != null && before.path("spec").equals(spec)) {
      return before;
    }
    revision++;
    ObjectNode object = JSON.createObjectNode();
    long created = before == null ? revision : before.path("metadata").path("create_rev").asLong();
    object
        .putObject("metadata")
        .put("name", name)
        .put("revision", revision)
        .put("create_rev", created)
        .put("deleting", false)
        .putArray("finalizers");
    object.set("spec", spec);
    object.putNull("status");
    objects.put(kind + "/" + name, object);
    event(kind, object, false);
    return object;
  }

  private void event(String kind, ObjectNode object, boolean deleted) {
    ObjectNode json = JSON.createObjectNode();
    json.set("object", object);
    json.put("deleted", deleted);
    events.add(new Event(revision, kind, json));
    notifyAll();
  }

  private boolean answer(Http.Message request, Socket socket, OutputStream out)
      throws IOException {
    String[] parts = request.target().split("\\?", 2);
    Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
    if (!parts[0].startsWith(BASE)) {
      respond(out, 404, JSON.createObjectNode());
      return true;
    }
    String[] path = parts[0].substring(BASE.length()).split("/");
    String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
    if (query.containsKey("watch")) {
      watch(path[0], query, out);
    } else if (request.method().equals("GET")) {
      read(path[0], name, query, out);
    } else {
      change(request, path[0], name, query, out);
    }
    return true;
  }

  private static Map<String, String> query(String text) {
    Map<String, String> fields = new TreeMap<>();
    for (String each : text.split("&")) {
      String[] field = each.split("=", 2);
      if (field.length == 2) {
        fields.put(field[0], URLDecoder.decode(field[1], StandardCharsets.UTF_8));
      }
    }
    return fields;
  }

  private void watch(String kind, Map<String, String> query, OutputStream out)
      throws IOException {
    long from = Long.parseLong(query.get("watch"));
    long until =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "30000")) * 1_000_000L;
    ObjectNode json = JSON.createObjectNode();
    synchronized (this) {
      ArrayNode found = json.putArray("events");
      while (true) {
        for (Event each : events) {
          if (each.revision > from && each.kind.equals(kind)) {
            found.add(each.json);
          }
        }
        long left = (until - System.nanoTime()) / 1_000_000L;
        if (found.size() > 0 || left <= 0) {
          break;
        }
        try {
          wait(left);
        } catch (InterruptedException interrupted) {
          throw new IOException(interrupted);
        }
      }
      json.put("store_revision", revision);
    }
    respond(out, 200, json);
  }

  private void read(String kind, String name, Map<String, String> query, OutputStream out)
      throws IOException {
    ObjectNode json = JSON.createObjectNode();
    int status = 200;
    synchronized (this) {
      if (name.isEmpty()) {
        ArrayNode items = json.putArray("items");
        String after = kind + "/" + query.getOrDefault("after", "");
        boolean truncated = false;
        long bytes = 0;
        for (Map.Entry<String, ObjectNode> each : objects.entrySet()) {
          if (!each.getKey().startsWith(kind + "/") || each.getKey().compareTo(after) <= 0) {
            continue;
          }
          bytes += each.getValue().toString().length();
          truncated = items.size() > 0 && (bytes > MAXIMUM_BYTES || items.size() >= MAXIMUM_ITEMS);
          if (truncated) {
            break;
          }
          items.add(each.getValue());
        }
        json.put("truncated", truncated).put("store_revision", revision);
      } else if (objects.containsKey(kind + "/" + name)) {
        json = objects.get(kind + "/" + name);
      } else {
        status = 404;
      }
    }
    respond(out, status, json);
  }

  private void change(
      Http.Message request, String kind, String named, Map<String, String> query, OutputStream out)
      throws IOException {
    JsonNode body = JSON.readTree(request.body.length == 0 ? "{}".getBytes() : request.body);
    ObjectNode answer;
    int status = 200;
    synchronized (this) {
      boolean create = request.method().equals("POST");
      String name = create ? body.path("metadata").path("name").asText() : named;
      ObjectNode before = objects.get(kind + "/" + name);
      long expected =
          query.containsKey("revision")
              ? Long.parseLong(query.get("revision"))
              : body.path("metadata").path("revision").asLong(-1);
      boolean differs =
          before != null
              && !create
              && expected >= 0
              && before.path("metadata").path("revision").asLong() != expected;
      if (before == null && !create) {
        status = 404;
        answer = JSON.createObjectNode();
      } else if ((before != null && create) || differs) {
        status = 409;
        answer = before;
      } else if (request.method().equals("DELETE")) {
        delete(kind, name);
        answer = before;
      } else {
        answer = replace(kind, name, body.path("spec"));
      }
    }
    respond(out, status, answer);
  }

  private static void respond(OutputStream out, int status, JsonNode json) throws IOException {
    Http.write(
        out,
        "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\n",
        JSON.writeValueAsBytes(json));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
