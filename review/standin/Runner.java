import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** A sound runner (upstream) as the users' pages describe it; cases override single answers. */
class Runner extends Http.Server {
  final String id;
  final String service;
  final String zone;
  final Store store;
  final boolean engine;
  final List<String> models = new ArrayList<>();
  volatile long born = System.currentTimeMillis();
  volatile int workMs = 60;
  volatile String state = "ready";
  private int beats;
  private volatile boolean beating = true;

  Runner(String ip, String id, String service, String zone, Store store, List<String> models)
      throws IOException {
    super(ip);
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.engine = models != null;
    if (engine) {
      this.models.addAll(models);
    }
    Http.thread(
        () -> {
          while (beating) {
            beat();
            try {
              Thread.sleep(1200);
            } catch (InterruptedException e) {
              return;
            }
          }
        });
  }

  synchronized void beat() {
    ObjectNode o = Store.JSON.createObjectNode();
    o.put("service", service).put("address", address()).put("zone", zone).put("version", "v1");
    o.put("slots", engine ? 96 : 6).put("state", state).put("cold_left_ms", 0);
    o.put("born", born);
    if (engine) {
      o.put("stage", "both");
      o.set("models", modelNodes());
    }
    o.put("seq", ++beats);
    if (beating) {
      store.put("servers", id, o);
    }
  }

  synchronized void leaveSilently() {
    beating = false;
    store.remove("servers", id);
  }

  /** Ends as a process does: its connections are closed. */
  void end() throws IOException {
    beating = false;
    stopListening();
  }

  private JsonNode modelNodes() {
    var array = Store.JSON.createArrayNode();
    models.forEach(m -> array.addObject().put("name", m).put("version", 1).putArray("adapters"));
    return array;
  }

  @Override
  boolean handle(Http.Message m, Socket connection, OutputStream out) throws IOException {
    String expected = m.header("target-instance");
    if (expected != null && !expected.equals(id)) {
      out.write(Http.message("HTTP/1.1 421 X", Map.of("Instance-Id", id), ""));
      return true;
    }
    if (m.uri().startsWith("/api/report")) {
      ObjectNode o = Store.JSON.createObjectNode();
      o.put("stage", "both").put("busy", false).put("seq", 0).put("waiting", 0);
      o.put("running", 0).put("kv_used", 0).put("kv_total", 120987).put("born", born);
      o.set("models", modelNodes());
      out.write(
          Http.message(
              "HTTP/1.1 200 OK", Map.of("Content-Type", "application/json"), o.toString()));
      return true;
    }
    if (m.uri().startsWith("/api/")) {
      out.write(Http.message("HTTP/1.1 409 X", Map.of(), "{}"));
      return true;
    }
    if (m.uri().equals("/health")) {
      out.write(Http.message("HTTP/1.1 200 OK", Map.of("Instance-Id", id), ""));
      return true;
    }
    if (m.header("request-id") == null) {
      out.write(Http.message("HTTP/1.1 400 X", Map.of("Not-Executed", "1"), ""));
      return true;
    }
    return run(m, connection, out);
  }

  /** Runs a request of a client; a model's answer is a stream of events. */
  boolean run(Http.Message m, Socket connection, OutputStream out) throws IOException {
    Record.add("run", id, m.header("request-id"), m.method() + " " + m.uri() + " " + m.body.length);
    if (engine) {
      stream(m, out, 11, 25);
    } else {
      pause(workMs);
      out.write(Http.message("HTTP/1.1 200 OK", seal(m), "done " + m.header("request-id")));
    }
    out.flush();
    Record.add("ran", id, m.header("request-id"), "");
    return true;
  }

  void stream(Http.Message m, OutputStream out, int events, int gapMs) throws IOException {
    out.write(streamHead(m));
    for (int event = 1; event <= events; event++) {
      pause(gapMs);
      chunk(out, "id: " + event + "\ndata: piece " + event + "\n\n");
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  byte[] streamHead(Http.Message m) {
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    seal(m).forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
    head.append("Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n");
    head.append("Transfer-Encoding: chunked\r\n\r\n");
    return head.toString().getBytes(StandardCharsets.US_ASCII);
  }

  static void chunk(OutputStream out, String text) throws IOException {
    byte[] b = text.getBytes(StandardCharsets.UTF_8);
    out.write((Integer.toHexString(b.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
    out.write(b);
    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  Map<String, String> seal(Http.Message m) {
    Map<String, String> h = new LinkedHashMap<>();
    h.put("Request-Id", m.header("request-id"));
    h.put("Response-Seal", id + "." + m.header("request-id"));
    return h;
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
