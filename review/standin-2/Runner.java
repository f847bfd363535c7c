import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound runner as PROTOCOL.md describes it, of a plain service or with models. It counts each
 * request that it begins to run by its Request-Id. Thread-safe.
 */
final class Runner implements AutoCloseable {
  final String id;
  final String service;
  final String zone;
  private final long born = System.currentTimeMillis();
  private final int slots;
  private final long workMilliseconds;
  private final List<String> models;
  private final Record record;
  private final Http.Server server;
  private final AtomicInteger running = new AtomicInteger();
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final AtomicInteger seq = new AtomicInteger();

  Runner(
      Record record,
      String id,
      String ip,
      String service,
      String zone,
      int slots,
      long workMilliseconds,
      List<String> models)
      throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMilliseconds = workMilliseconds;
    this.models = models;
    server = new Http.Server(ip, this::answer);
  }

  /** Returns the entry that the runner writes into the store. */
  String entry() {
    StringBuilder held = new StringBuilder();
    for (String model : models) {
      held.append(held.length() == 0 ? "" : ",")
          .append("{\"name\":\"")
          .append(model)
          .append("\",\"version\":1,\"adapters\":[]}");
    }
    return "{\"service\":\"" + service + "\",\"address\":\"" + server.address()
        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + born
        + (models.isEmpty() ? "" : ",\"stage\":\"both\",\"models\":[" + held + "]") + "}";
  }

  boolean hasRun(String request) {
    return ran.contains(request);
  }

  private boolean answer(Http.Message request, Socket socket, OutputStream out)
      throws IOException {
    String requestId = request.header("Request-Id").orElse("");
    if (!request.header("Target-Instance").orElse(id).equals(id)) {
      Http.write(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\n", "");
      return true;
    }
    if (request.target().equals("/api/report")) {
      Http.write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", report());
      return true;
    }
    if (request.target().equals("/api/order")) {
      Http.write(out, "HTTP/1.1 200 OK\r\n", "");
      return true;
    }
    if (request.target().equals("/health")) {
      Http.write(out, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\n", "");
      return true;
    }
    if (requestId.isEmpty()) {
      Http.write(out, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n", "");
      return true;
    }
    if (running.incrementAndGet() > slots) {
      running.decrementAndGet();
      Http.write(
          out,
          "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + requestId
              + "\r\n",
          "");
      return true;
    }
    try {
      ran.add(requestId);
      record.line("runner %s runs %s", id, requestId);
      return run(request, requestId, out);
    } finally {
      running.decrementAndGet();
    }
  }

  private boolean run(Http.Message request, String requestId, OutputStream out)
      throws IOException {
    String head =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Seal: seal-" + id + "-"
            + requestId + "\r\n";
    pause(workMilliseconds);
    if (models.isEmpty()) {
      Http.write(out, head, "answer to " + requestId);
      return true;
    }
    out.write(
        (head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "Weight-Versions: 1\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    for (int event = 1; event <= 8; event++) {
      chunk(out, "id: " + event + "\ndata: token " + event + " of " + requestId + "\n\n");
      pause(20);
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    return true;
  }

  private String report() {
    List<String> held = new ArrayList<>();
    for (String model : models) {
      held.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
    }
    return "{\"stage\":\"both\",\"models\":[" + String.join(",", held)
        + "],\"busy\":false,\"seq\":" + seq.get() + ",\"waiting\":0,\"running\":" + running.get()
        + ",\"kv_used\":" + 1000 * running.get() + ",\"kv_total\":131389,\"handles\":0,\"born\":"
        + born + "}";
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.write(bytes);
    out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static void pause(long milliseconds) throws IOException {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException interrupted) {
      throw new IOException(interrupted);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
