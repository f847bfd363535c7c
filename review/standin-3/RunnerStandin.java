import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Stands in for one runner: answers requests, reports its state, and carries out orders.
 *
 * <p>A runner without models is a plain one. It checks the expected number of orders, but no
 * fencing tokens. Thread-safe.
 */
final class RunnerStandin {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int BACKLOG = 500;
  private static final long HEARTBEAT_MILLISECONDS = 1_200;
  private static final long MODEL_LOAD_MILLISECONDS = 1_100;
  private static final long ADAPTER_LOAD_MILLISECONDS = 10;
  private static final double MAXIMUM_MEGABYTES = 83_000;
  private static final int EVENTS = 3;
  private static final long EVENT_MILLISECONDS = 20;
  private static final long PLAIN_WORK_MILLISECONDS = 20;

  private final String id;
  private final String service;
  private final String zone;
  private final StoreStandin store;
  private final CaseRecord record;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;
  private volatile boolean down;
  private volatile long born = System.currentTimeMillis();
  private final boolean hasEngine;
  private final List<String> models = new ArrayList<>();
  private final Set<String> adapters = new LinkedHashSet<>();
  private final Consumer<Order> onOrder;
  private final Consumer<HttpMessage> onRun;
  private final List<JsonNode> unanswered = new ArrayList<>();
  private final Map<String, Double> weights = new HashMap<>();
  private volatile Predicate<JsonNode> leavesUnanswered = order -> false;
  private volatile Consumer<String> onTooMuch = text -> {};
  private volatile String address;
  private long heartbeats;
  private int acceptedOrders;
  private boolean busy;

  /** An order as it arrived. Immutable. */
  record Order(String runner, double at, String holder, long fence, String text, int status) {}

  RunnerStandin(
      String id,
      String service,
      String zone,
      List<String> models,
      StoreStandin store,
      CaseRecord record,
      Consumer<Order> onOrder,
      Consumer<HttpMessage> onRun)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.models.addAll(models);
    this.hasEngine = !models.isEmpty();
    this.store = store;
    this.record = record;
    this.onOrder = onOrder;
    this.onRun = onRun;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    this.address = "127.0.0.1:" + listener.getLocalPort();
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Registers the runner and serves it; other instances reach it at the given address. */
  void start(String registeredAddress) {
    address = registeredAddress;
    Threads.start(this::accept);
    Threads.start(
        () -> {
          while (true) {
            if (!down) {
              writeEntry();
            }
            Threads.pause(HEARTBEAT_MILLISECONDS);
          }
        });
  }

  void start() {
    start(address);
  }

  /** Ends the process of the runner: all connections are reset, and nothing listens. */
  synchronized void crash() throws IOException {
    record.write("runner %s crashes", id);
    down = true;
    listener.close();
    for (Socket connection : connections) {
      if (!connection.isClosed()) {
        connection.setSoLinger(true, 0);
        connection.close();
      }
    }
    connections.clear();
    models.clear();
    adapters.clear();
    acceptedOrders = 0;
    busy = false;
  }

  /** Starts the runner again under its identifier and its address; it holds nothing. */
  void restart() throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()));
    listener = opened;
    born = System.currentTimeMillis();
    heartbeats = 0;
    down = false;
    record.write("runner %s is back under its identifier", id);
    Threads.start(this::accept);
    writeEntry();
  }

  private void accept() {
    ServerSocket accepting = listener;
    while (true) {
      try {
        Socket connection = accepting.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Threads.start(() -> serve(connection));
      } catch (IOException exception) {
        return;
      }
    }
  }

  private synchronized void writeEntry() {
    ObjectNode entry = MAPPER.createObjectNode().put("service", service).put("address", address);
    entry.put("zone", zone).put("version", "v1").put("slots", 96).put("state", "ready");
    entry.put("cold_left_ms", 0).put("born", born).put("seq", heartbeats);
    heartbeats++;
    if (isModelRunner()) {
      entry.put("stage", "both");
      addModels(entry);
    }
    store.put("servers", id, entry);
  }

  private boolean isModelRunner() {
    return hasEngine;
  }

  private void addModels(ObjectNode target) {
    ArrayNode listed = target.putArray("models");
    for (String model : models) {
      ArrayNode names =
          listed.addObject().put("name", model).put("version", 1).putArray("adapters");
      adapters.stream()
          .filter(each -> each.startsWith(model + "/"))
          .forEach(each -> names.add(each.substring(model.length() + 1)));
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream input = new BufferedInputStream(connection.getInputStream());
      for (HttpMessage request = HttpMessage.read(input);
          request != null;
          request = HttpMessage.read(input)) {
        answer(request, connection.getOutputStream());
        if ("close".equalsIgnoreCase(request.field("Connection"))) {
          return;
        }
      }
    } catch (IOException exception) {
      // The caller has closed its connection.
    }
    connections.remove(connection);
  }

  private void answer(HttpMessage request, OutputStream output) throws IOException {
    if (request.target().equals("/health")) {
      HttpMessage.writeResponse(output, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (!id.equals(request.field("Target-Instance"))) {
      HttpMessage.writeResponse(output, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (request.target().equals("/api/report")) {
      byte[] report = MAPPER.writeValueAsBytes(report());
      HttpMessage.writeResponse(output, 200, "Content-Type: application/json\r\n", report);
    } else if (request.target().equals("/api/order")) {
      answerOrder(MAPPER.readTree(request.body()), output);
    } else {
      run(request, output);
    }
  }

  private synchronized ObjectNode report() {
    ObjectNode report = MAPPER.createObjectNode().put("stage", "both").put("busy", busy);
    report.put("seq", acceptedOrders).put("waiting", 0).put("running", 0).put("kv_used", 0);
    report.put("kv_total", 131_389).put("handles", 0).put("born", born).put("state", "ready");
    addModels(report);
    report.putArray("coming");
    return report;
  }

  private void answerOrder(JsonNode order, OutputStream output) throws IOException {
    if (leavesUnanswered.test(order)) {
      synchronized (this) {
        unanswered.add(order);
      }
      record.write("runner %s leaves order unanswered: %s", id, order);
      return;
    }
    HttpMessage.writeResponse(output, order(order), "", new byte[0]);
  }

  /** Sets which orders get no answer; they are carried out later, or never. */
  void leaveUnanswered(Predicate<JsonNode> chosen) {
    leavesUnanswered = chosen;
  }

  /** Carries out orders that got no answer, if they still meet their preconditions. */
  synchronized void carryOutUnanswered(Predicate<JsonNode> chosen) {
    for (JsonNode order : List.copyOf(unanswered)) {
      if (chosen.test(order)) {
        record.write("runner %s carries out late what it left unanswered", id);
        order(order);
        unanswered.remove(order);
      }
    }
  }

  synchronized int acceptedOrders() {
    return acceptedOrders;
  }

  /** Sets the megabytes of each model and what is told of an order to load too much. */
  void setWeights(Map<String, Double> megabytes, Consumer<String> tooMuch) {
    weights.putAll(megabytes);
    onTooMuch = tooMuch;
  }

  private synchronized int order(JsonNode order) {
    int status = outcome(order);
    String adapter = order.path("adapter").asText();
    String text =
        order.path("op_type").asText()
            + " "
            + order.path("model").asText()
            + (adapter.isEmpty() ? "" : "/" + adapter);
    String holder = order.path("holder").asText();
    long fence = order.path("fence").asLong();
    record.write(
        "runner %s gets order %s holder=%s fence=%d precondition=%d, answers %d",
        id,
        text,
        holder,
        fence,
        order.path("precondition").asInt(),
        status);
    onOrder.accept(new Order(id, record.now(), holder, fence, text, status));
    return status;
  }

  private int outcome(JsonNode order) {
    if (order.has("precondition") && order.path("precondition").asInt() != acceptedOrders) {
      return 409;
    }
    String model = order.path("model").asText();
    String adapter = order.path("adapter").asText();
    boolean load = order.path("op_type").asText().equals("load");
    if (!adapter.isEmpty()) {
      return adapterOutcome(model + "/" + adapter, model, load);
    }
    if (busy) {
      return 409;
    }
    if (load == models.contains(model)) {
      return 200;
    }
    acceptedOrders++;
    if (load) {
      checkWeights(model);
      busy = true;
      Threads.start(() -> finishLoad(model));
    } else {
      models.remove(model);
      adapters.removeIf(each -> each.startsWith(model + "/"));
    }
    return 202;
  }

  private void checkWeights(String model) {
    double total = weights.getOrDefault(model, 0.0);
    for (String held : models) {
      total += weights.getOrDefault(held, 0.0);
    }
    if (total > MAXIMUM_MEGABYTES) {
      onTooMuch.accept(
          String.format(
              "runner %s holds %s and is ordered to load %s, %.0f MB of %.0f MB",
              id, models, model, total, MAXIMUM_MEGABYTES));
    }
  }

  private int adapterOutcome(String name, String model, boolean load) {
    if (!models.contains(model)) {
      return 400;
    }
    acceptedOrders++;
    if (!load) {
      adapters.remove(name);
      return 200;
    }
    Threads.start(
        () -> {
          Threads.pause(ADAPTER_LOAD_MILLISECONDS);
          synchronized (this) {
            adapters.add(name);
          }
        });
    return 202;
  }

  private void finishLoad(String model) {
    long process = born;
    Threads.pause(MODEL_LOAD_MILLISECONDS);
    synchronized (this) {
      if (born != process) {
        return;
      }
      models.add(model);
      busy = false;
    }
    writeEntry();
  }

  private void run(HttpMessage request, OutputStream output) throws IOException {
    String requestId = request.field("Request-Id");
    String model = request.field("Model");
    if (model != null && !holds(model)) {
      String fields = "Not-Executed: 1\r\nRequest-Id: " + requestId + "\r\n";
      HttpMessage.writeResponse(output, 421, fields, new byte[0]);
      return;
    }
    onRun.accept(request);
    String seal =
        "Request-Id: " + requestId + "\r\nResponse-Seal: " + id + "." + requestId + "\r\n";
    if (model == null) {
      Threads.pause(PLAIN_WORK_MILLISECONDS);
      byte[] body = ("answer to " + requestId).getBytes(StandardCharsets.UTF_8);
      HttpMessage.writeResponse(output, 200, seal, body);
      return;
    }
    String head = "HTTP/1.1 200 OK\r\n" + seal + "Content-Type: text/event-stream\r\n";
    write(output, head + "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= EVENTS; event++) {
      Threads.pause(EVENT_MILLISECONDS);
      String text = "id: " + event + "\ndata: " + requestId + "\n\n";
      write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
    write(output, "0\r\n\r\n");
  }

  private synchronized boolean holds(String model) {
    return model.contains("/") ? adapters.contains(model) : models.contains(model);
  }

  private static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
