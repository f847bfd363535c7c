import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A runner leaves an order to load a model unanswered and carries it out late; meanwhile it crashes
 * and is back under its identifier, and the instance that gave the order is killed and started
 * again. Judges by the rule LIMIT what the runner is ordered to load.
 */
final class RestartedRunnerCase extends ReviewCase {
  private static final Map<String, Double> MODELS = new LinkedHashMap<>();
  private static final Map<String, List<String>> OTHER_RUNNERS =
      Map.of(
          "runner-2", List.of("model-f", "model-g"),
          "runner-3", List.of("model-h", "model-i"),
          "runner-4", List.of("model-j", "model-k"));
  private static final String BASE = "model-a";
  private static final String IDLE = "model-b";
  private static final String OTHER_IDLE = "model-c";
  private static final String LATE = "model-d";
  private static final String THEN_WANTED = "model-e";
  private static final long REQUEST_INTERVAL_MILLISECONDS = 60;
  private static final int OTHER_NUMBERS = 100_000;
  private static final int DEADLINE_MILLISECONDS = 5_000;
  private static final int SHORT_DEADLINE_MILLISECONDS = 1_000;
  private static final double LONGEST_DELAY_SECONDS = 11.5;

  static {
    MODELS.put(BASE, 34_300.0);
    MODELS.put(IDLE, 16_100.0);
    MODELS.put(OTHER_IDLE, 16_100.0);
    MODELS.put(LATE, 34_300.0);
    MODELS.put(THEN_WANTED, 34_300.0);
    OTHER_RUNNERS.values().forEach(held -> held.forEach(each -> MODELS.put(each, 34_300.0)));
  }

  private final ConcurrentLinkedQueue<String> tooMuch = new ConcurrentLinkedQueue<>();
  private volatile String wanted = IDLE;
  private volatile double lateSince = -1;

  public static void main(String[] arguments) {
    new RestartedRunnerCase().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    StoreStandin store = new StoreStandin();
    RunnerStandin runner =
        new RunnerStandin(
            "runner-1",
            "models",
            "zone-a",
            List.of(BASE, IDLE, OTHER_IDLE),
            store,
            record(),
            order -> {},
            run -> {});
    runner.setWeights(MODELS, tooMuch::add);
    runner.start();
    for (Map.Entry<String, List<String>> other : OTHER_RUNNERS.entrySet()) {
      RunnerStandin started = modelRunner(other.getKey(), other.getValue(), store);
      started.setWeights(MODELS, tooMuch::add);
      started.start();
    }
    store.put(
        "config",
        "main",
        Deployment.configuration(
            List.of(Deployment.route("draft", "streaming", DEADLINE_MILLISECONDS, "models", 2)),
            List.of(Deployment.modelService("models", 0, MODELS))));
    Map<String, String> zones = new LinkedHashMap<>();
    zones.put("zone-a", "region-a");
    zones.put("zone-b", "region-a");
    List<EntryProcess> entries =
        List.of(
            new EntryProcess("front-a-1", "zone-a", zones, store.address(), folder()),
            new EntryProcess("front-b-1", "zone-b", zones, store.address(), folder()));
    startAll(entries);
    Threads.pause(3_000);
    String name = store.specTexts("lease", "content", "holder").get(0);
    EntryProcess holder =
        entries.stream().filter(each -> name.startsWith(each.name())).findFirst().orElseThrow();
    EntryProcess other = entries.get(entries.get(0) == holder ? 1 : 0);
    record().write("%s holds the lease; requests go to %s", holder.name(), other.name());
    Threads.start(() -> sendRequests(other));
    Threads.pause(2_000);
    if (isTrouble()) {
      runner.leaveUnanswered(this::isLate);
    }
    record().write("the demand moves to %s", LATE);
    wanted = LATE;
    awaitLateLoad();
    record().write("the demand moves to %s", THEN_WANTED);
    wanted = THEN_WANTED;
    if (isTrouble()) {
      runner.crash();
      record().write("%s is killed", holder.name());
      holder.kill();
      Threads.pause(1_000);
      runner.restart();
      runner.leaveUnanswered(order -> false);
      Threads.pause(1_000);
      record().write("%s is started again", holder.name());
      holder.start(entries.stream().map(EntryProcess::control).toList());
      while (record().now() < lateSince + LONGEST_DELAY_SECONDS && runner.acceptedOrders() < 2) {
        Threads.pause(5);
      }
      Threads.pause(2_000);
      runner.carryOutUnanswered(order -> true);
    }
    Threads.pause(6_000);
    tooMuch.forEach(each -> record().write("LIMIT: %s", each));
    return !tooMuch.isEmpty();
  }

  private RunnerStandin modelRunner(String id, List<String> held, StoreStandin store)
      throws IOException {
    return new RunnerStandin(
        id, "models", "zone-b", held, store, record(), order -> {}, run -> {});
  }

  /** Chooses the orders for the model that is loaded late. */
  private boolean isLate(JsonNode order) {
    boolean late = isLoad(order) && order.path("model").asText().equals(LATE);
    if (late && lateSince < 0) {
      lateSince = record().now();
    }
    return late;
  }

  private static boolean isLoad(JsonNode order) {
    return order.path("op_type").asText().equals("load");
  }

  private void awaitLateLoad() {
    double since = record().now();
    while (isTrouble() && lateSince < 0 && record().now() < since + 20) {
      Threads.pause(5);
    }
    if (!isTrouble()) {
      Threads.pause(4_000);
    }
  }

  private void sendRequests(EntryProcess entry) {
    for (int number = 1; true; number++) {
      int each = number;
      String model = number % 2 == 0 ? BASE : wanted;
      Threads.start(() -> sendRequest(entry, model, each));
      List<String> others = OTHER_RUNNERS.values().stream().flatMap(List::stream).toList();
      String other = others.get(number % others.size());
      Threads.start(() -> sendRequest(entry, other, OTHER_NUMBERS + each));
      Threads.pause(REQUEST_INTERVAL_MILLISECONDS);
    }
  }

  private void sendRequest(EntryProcess entry, String model, int number) {
    String request =
        "POST /draft/x HTTP/1.1\r\nHost: front.example\r\nRequest-Id: r%d\r\nModel: %s\r\n"
            + "Token-Usage: 1460,20\r\nPrompt-Prefix: 5c1e07a2:800,%x:660\r\nDeadline-Ms: %d\r\n"
            + "Content-Length: 4\r\n\r\ntext";
    int deadline = model.equals(LATE) ? SHORT_DEADLINE_MILLISECONDS : DEADLINE_MILLISECONDS;
    String outcome;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", entry.callerPort()), 1_000);
      socket.setSoTimeout(DEADLINE_MILLISECONDS);
      socket
          .getOutputStream()
          .write(
              String.format(request, number, model, number, deadline)
                  .getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
      outcome = answer == null ? "closed" : "answered " + answer.status();
    } catch (IOException exception) {
      outcome = "failed: " + exception.getMessage();
    }
    record().write("request r%d for %s %s", number, model, outcome);
  }
}
