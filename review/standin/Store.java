import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** The platform's store as the users' pages describe it: objects with revisions and watches. */
final class Store extends Http.Server {
  static final ObjectMapper JSON = new ObjectMapper();
  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long revision = 100;
  volatile boolean silent;

  private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

  Store(String ip) throws IOException {
    super(ip);
  }

  synchronized void put(String kind, String name, JsonNode spec) {
    ObjectNode before = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
    ObjectNode o = JSON.createObjectNode();
    revision++;
    ObjectNode metadata = o.putObject("metadata");
    metadata.put("name", name).put("revision", revision);
    metadata.put(
        "create_rev",
        before == null ? revision : before.path("metadata").path("create_rev").asLong());
    o.set("spec", spec);
    kinds.get(kind).put(name, o);
    changes.add(new Change(revision, kind, o, false));
    notifyAll();
  }

  synchronized void remove(String kind, String name) {
    ObjectNode before = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
    if (before != null) {
      revision++;
      changes.add(new Change(revision, kind, before, true));
      notifyAll();
    }
  }

  @Override
  boolean handle(Http.Message m, Socket connection, OutputStream out) throws IOException {
    if (silent) {
      return false;
    }
    String[] pathAndQuery = m.uri().split("\\?", 2);
    Map<String, String> query = new HashMap<>();
    if (pathAndQuery.length > 1) {
      for (String each : pathAndQuery[1].split("&")) {
        String[] kv = each.split("=", 2);
        query.put(kv[0], URLDecoder.decode(kv[1], StandardCharsets.UTF_8));
      }
    }
    String[] parts = pathAndQuery[0].substring("/api/objects/".length()).split("/");
    String name = parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : null;
    ObjectNode answer = JSON.createObjectNode();
    int status = call(m, parts[0], name, query, answer);
    out.write(
        Http.message(
            "HTTP/1.1 " + status + " X",
            Map.of("Content-Type", "application/json"),
            answer.toString()));
    out.flush();
    return true;
  }

  private synchronized int call(
      Http.Message m, String kind, String name, Map<String, String> query, ObjectNode answer)
      throws IOException {
    TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    switch (m.method()) {
      case "GET":
        if (name != null) {
          ObjectNode found = objects.get(name);
          if (found == null) {
            return 404;
          }
          answer.setAll(found);
          return 200;
        }
        if (query.containsKey("watch")) {
          return watch(kind, Long.parseLong(query.get("watch")), query, answer);
        }
        ArrayNode items = answer.putArray("items");
        String after = query.getOrDefault("after", "");
        objects.tailMap(after, after.isEmpty()).values().forEach(items::add);
        answer.put("truncated", false).put("store_revision", revision);
        return 200;
      case "POST":
        {
          JsonNode body = JSON.readTree(m.body);
          String created = body.path("metadata").path("name").asText();
          if (objects.containsKey(created)) {
            return 409;
          }
          put(kind, created, body.path("spec"));
          answer.setAll(objects.get(created));
          return 200;
        }
      case "PUT":
        {
          JsonNode body = JSON.readTree(m.body);
          ObjectNode found = objects.get(name);
          if (found == null) {
            return 404;
          }
          JsonNode expected = body.path("metadata").path("revision");
          if (!expected.isMissingNode()
              && expected.asLong() != found.path("metadata").path("revision").asLong()) {
            answer.setAll(found);
            return 409;
          }
          put(kind, name, body.path("spec"));
          answer.setAll(objects.get(name));
          return 200;
        }
      case "DELETE":
        remove(kind, name);
        return 200;
      default:
        return 400;
    }
  }

  private int watch(String kind, long from, Map<String, String> query, ObjectNode answer) {
    long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "1000"));
    while (true) {
      ArrayNode events = answer.putArray("events");
      for (Change each : changes) {
        if (each.revision > from && each.kind.equals(kind)) {
          events.addObject().put("deleted", each.deleted).set("object", each.object);
        }
      }
      long left = end - System.currentTimeMillis();
      if (!events.isEmpty() || left <= 0) {
        answer.put("store_revision", revision);
        return 200;
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        return 503;
      }
    }
  }
}
