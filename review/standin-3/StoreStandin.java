import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for the platform's metadata store: lists, watches, and writes under a condition.
 *
 * <p>It is always up, loses nothing and keeps its whole history. Thread-safe.
 */
final class StoreStandin {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String BASE_PATH = "/api/objects/";
  private static final int BACKLOG = 200;

  private final ServerSocket listener;
  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long revision = 100;

  private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

  private record Answer(int status, JsonNode body) {}

  StoreStandin() throws IOException {
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket connection = listener.accept();
        connection.setTcpNoDelay(true);
        Threads.start(() -> serve(connection));
      } catch (IOException exception) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream input = new BufferedInputStream(connection.getInputStream());
      for (HttpMessage call = HttpMessage.read(input);
          call != null;
          call = HttpMessage.read(input)) {
        Answer answer = answer(call);
        HttpMessage.writeResponse(
            connection.getOutputStream(),
            answer.status(),
            "Content-Type: application/json\r\n",
            MAPPER.writeValueAsBytes(answer.body()));
      }
    } catch (IOException | InterruptedException exception) {
      // The caller has closed its connection.
    }
  }

  private Answer answer(HttpMessage call) throws IOException, InterruptedException {
    String[] target = call.target().split("\\?", 2);
    Map<String, String> query = query(target.length > 1 ? target[1] : "");
    String[] path = target[0].substring(BASE_PATH.length()).split("/");
    if (call.method().equals("GET") && query.containsKey("watch")) {
      long from = Long.parseLong(query.get("watch"));
      return watch(path[0], from, Long.parseLong(query.getOrDefault("wait_ms", "0")));
    }
    JsonNode sent =
        call.body().length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(call.body());
    return path.length == 1 && call.method().equals("GET")
        ? list(path[0])
        : object(call.method(), path, query, sent);
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private synchronized Answer list(String kind) {
    ObjectNode answer = MAPPER.createObjectNode();
    ArrayNode items = answer.putArray("items");
    kinds.getOrDefault(kind, new TreeMap<>()).values().forEach(each -> items.add(each.deepCopy()));
    answer.put("truncated", false).put("store_revision", revision);
    return new Answer(200, answer);
  }

  private synchronized Answer object(
      String method, String[] path, Map<String, String> query, JsonNode sent) {
    String kind = path[0];
    String name = path.length > 1 ? path[1] : sent.path("metadata").path("name").asText();
    ObjectNode known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    if (method.equals("POST")) {
      return known != null
          ? new Answer(409, known.deepCopy())
          : new Answer(200, put(kind, name, sent.path("spec")));
    }
    if (known == null) {
      return new Answer(404, MAPPER.createObjectNode());
    }
    if (method.equals("GET")) {
      return new Answer(200, known.deepCopy());
    }
    String condition =
        query.getOrDefault("revision", sent.path("metadata").path("revision").asText(""));
    if (!condition.isEmpty() && !condition.equals(revisionOf(known))) {
      return new Answer(409, known.deepCopy());
    }
    if (method.equals("PUT")) {
      return new Answer(200, put(kind, name, sent.path("spec")));
    }
    kinds.get(kind).remove(name);
    changed(kind, known, true);
    return new Answer(200, known);
  }

  private static String revisionOf(ObjectNode object) {
    return object.path("metadata").path("revision").asText();
  }

  /** Writes an object as the operator, a runner or the system does. */
  synchronized ObjectNode put(String kind, String name, JsonNode spec) {
    TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, each -> new TreeMap<>());
    ObjectNode before = objects.get(name);
    if (before != null && before.path("spec").equals(spec)) {
      return before.deepCopy();
    }
    ObjectNode object = MAPPER.createObjectNode();
    ObjectNode metadata = object.putObject("metadata").put("name", name);
    metadata.put("revision", revision + 1);
    metadata.put(
        "create_rev",
        before == null ? revision + 1 : before.path("metadata").path("create_rev").asLong());
    metadata.putArray("finalizers");
    metadata.put("deleting", false);
    object.set("spec", spec);
    object.putNull("status");
    objects.put(name, object);
    changed(kind, object, false);
    return object.deepCopy();
  }

  private void changed(String kind, ObjectNode object, boolean deleted) {
    revision++;
    changes.add(new Change(revision, kind, object, deleted));
    notifyAll();
  }

  private synchronized Answer watch(String kind, long from, long waitMilliseconds)
      throws InterruptedException {
    long until = System.nanoTime() + waitMilliseconds * 1_000_000;
    while (true) {
      ObjectNode answer = MAPPER.createObjectNode();
      ArrayNode events = answer.putArray("events");
      for (Change change : changes) {
        if (change.revision() > from && change.kind().equals(kind)) {
          events.addObject().put("deleted", change.deleted()).set("object", change.object());
        }
      }
      answer.put("store_revision", revision);
      long left = (until - System.nanoTime()) / 1_000_000;
      if (events.size() > 0 || left <= 0) {
        return new Answer(200, answer.deepCopy());
      }
      wait(left);
    }
  }

  /** Returns the names of the fields' values in all objects of kinds whose name holds a text. */
  synchronized List<String> specTexts(String kindPart, String... fields) {
    List<String> texts = new ArrayList<>();
    kinds.forEach(
        (kind, objects) -> {
          if (kind.contains(kindPart)) {
            for (ObjectNode object : objects.values()) {
              JsonNode value = object.path("spec");
              for (String field : fields) {
                value = value.path(field);
              }
              texts.add(value.asText());
            }
          }
        });
    return texts;
  }
}
