import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as PROTOCOL.md describes it: objects by kind and name, one revision counter,
 * conditional writes, lists in pages and watches. Keeps objects as text. Thread-safe.
 */
final class Store implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String BASE = "/api/objects/";
  private static final String RUNNERS = "servers";
  private static final long HEARTBEATS_OF_SILENCE = 3;
  private static final long HISTORY_NANOSECONDS = 20_000_000_000L; // history_s
  // PROTOCOL.md: "about 500 or 1 MB at most".
  private static final int MAXIMUM_ITEMS = 500;
  private static final int MAXIMUM_BYTES = 1_048_576;

  private final Map<String, Item> objects = new TreeMap<>(); // By KIND/NAME.
  private final Map<String, Long> writtenAt = new TreeMap<>(); // Of the entries of runners.
  private final Deque<Event> events = new ArrayDeque<>();
  private final Http.Server server;
  private long revision = 100;
  private long forgotten = 100; // The revision of the last event that is no longer kept.

  /** An object of the store. */
  private record Item(String name, long revision, long created, String spec) {
    String json() {
      return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
          + ",\"create_rev\":" + created + ",\"deleting\":false,\"finalizers\":[]},\"spec\":" + spec
          + ",\"status\":null}";
    }
  }

  private record Event(long revision, long at, String kind, Item item, boolean deleted) {
    String json() {
      return "{\"object\":" + item.json() + ",\"deleted\":" + deleted + "}";
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
  synchronized void put(String kind, String name, String spec) {
    if (kind.equals(RUNNERS)) {
      writtenAt.put(name, System.nanoTime());
    }
    replace(kind, name, spec);
  }

  private synchronized void delete(String kind, String name) {
    writtenAt.remove(name);
    Item removed = objects.remove(kind + "/" + name);
    if (removed != null) {
      revision++;
      event(kind, removed, true);
    }
  }

  private Item replace(String kind, String name, String spec) {
    Item before = objects.get(kind + "/" + name);
    if (before != null && before.spec().equals(spec)) {
      return before;
    }
    revision++;
    Item item = new Item(name, revision, before == null ? revision : before.created(), spec);
    objects.put(kind + "/" + name, item);
    event(kind, item, false);
    return item;
  }

  private void event(String kind, Item item, boolean deleted) {
    long now = System.nanoTime();
    events.add(new Event(revision, now, kind, item, deleted));
    while (now - events.peek().at() > HISTORY_NANOSECONDS) {
      forgotten = events.remove().revision();
    }
    notifyAll();
  }

  private boolean answer(Http.Message request, Socket socket, OutputStream out)
      throws IOException {
    String[] parts = request.target().split("\\?", 2);
    Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
    if (!parts[0].startsWith(BASE)) {
      respond(out, 404, "{}");
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
    List<Event> found = new ArrayList<>();
    long reached;
    synchronized (this) {
      while (from >= forgotten) {
        for (Event each : events) {
          if (each.revision() > from && each.kind().equals(kind)) {
            found.add(each);
          }
        }
        long left = (until - System.nanoTime()) / 1_000_000L;
        if (!found.isEmpty() || left <= 0) {
          break;
        }
        try {
          wait(left);
        } catch (InterruptedException interrupted) {
          throw new IOException(interrupted);
        }
      }
      reached = revision;
      if (from < forgotten && found.isEmpty()) {
        reached = -1;
      }
    }
    if (reached < 0) {
      respond(out, 410, "{}");
      return;
    }
    StringBuilder json = new StringBuilder("{\"events\":[");
    for (Event each : found) {
      json.append(each == found.get(0) ? "" : ",").append(each.json());
    }
    respond(out, 200, json.append("],\"store_revision\":").append(reached).append('}').toString());
  }

  private void read(String kind, String name, Map<String, String> query, OutputStream out)
      throws IOException {
    StringBuilder json = new StringBuilder();
    int status = 200;
    synchronized (this) {
      if (name.isEmpty()) {
        list(kind, kind + "/" + query.getOrDefault("after", ""), json);
      } else if (objects.containsKey(kind + "/" + name)) {
        json.append(objects.get(kind + "/" + name).json());
      } else {
        status = 404;
        json.append("{}");
      }
    }
    respond(out, status, json.toString());
  }

  private void list(String kind, String after, StringBuilder json) {
    boolean truncated = false;
    int items = 0;
    json.append("{\"items\":[");
    for (Map.Entry<String, Item> each : objects.entrySet()) {
      if (!each.getKey().startsWith(kind + "/") || each.getKey().compareTo(after) <= 0) {
        continue;
      }
      int bytes = json.length() + each.getValue().spec().length();
      truncated = items > 0 && (bytes > MAXIMUM_BYTES || items >= MAXIMUM_ITEMS);
      if (truncated) {
        break;
      }
      json.append(items == 0 ? "" : ",").append(each.getValue().json());
      items++;
    }
    json.append("],\"truncated\":").append(truncated).append(",\"store_revision\":")
        .append(revision).append('}');
  }

  private void change(
      Http.Message request, String kind, String named, Map<String, String> query, OutputStream out)
      throws IOException {
    JsonNode body = JSON.readTree(request.body.length == 0 ? new byte[] {'{', '}'} : request.body);
    Item answer;
    int status = 200;
    synchronized (this) {
      boolean create = request.method().equals("POST");
      String name = create ? body.path("metadata").path("name").asText() : named;
      Item before = objects.get(kind + "/" + name);
      long expected =
          query.containsKey("revision")
              ? Long.parseLong(query.get("revision"))
              : body.path("metadata").path("revision").asLong(-1);
      boolean differs =
          before != null && !create && expected >= 0 && before.revision() != expected;
      if (before == null && !create) {
        status = 404;
        answer = null;
      } else if ((before != null && create) || differs) {
        status = 409;
        answer = before;
      } else if (request.method().equals("DELETE")) {
        delete(kind, name);
        answer = before;
      } else {
        answer = replace(kind, name, body.path("spec").toString());
      }
    }
    respond(out, status, answer == null ? "{}" : answer.json());
  }

  private static void respond(OutputStream out, int status, String json) throws IOException {
    Http.write(
        out, "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\n", json);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
