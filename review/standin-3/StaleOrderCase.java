import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The model runner, one of three runners, is cut off for 5.5 s; 2 s into it the instance that gives
 * the orders gets a planned stop. Judges the runner's orders by the rule ONE.
 */
final class StaleOrderCase extends ReviewCase {
  private static final int ADAPTERS = 24;
  private static final double CUT_SECONDS = 5.5;
  private static final double THAW_SLACK_SECONDS = 0.3;
  private static final long REQUEST_INTERVAL_MILLISECONDS = 100;
  private static final int DEADLINE_MILLISECONDS = 5_000;

  private final ConcurrentLinkedQueue<RunnerStandin.Order> orders = new ConcurrentLinkedQueue<>();

  public static void main(String[] arguments) {
    new StaleOrderCase().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    StoreStandin store = new StoreStandin();
    RunnerStandin first = runner("runner-1", "model-1", store);
    CuttableLink link = new CuttableLink(first.port(), record());
    first.start(link.address());
    plainRunner("desk-1", store).start();
    plainRunner("desk-2", store).start();
    store.put(
        "config",
        "main",
        Deployment.configuration(
            List.of(Deployment.route("draft", "streaming", DEADLINE_MILLISECONDS, "models", 2)),
            List.of(
                Deployment.modelService("models", ADAPTERS, Map.of("model-1", 34_300.0)),
                Deployment.plainService("desk"))));
    Map<String, String> zones = new LinkedHashMap<>();
    zones.put("zone-a", "region-a");
    zones.put("zone-b", "region-a");
    List<EntryProcess> entries =
        List.of(
            new EntryProcess("front-a-1", "zone-a", zones, store.address(), folder()),
            new EntryProcess("front-b-1", "zone-b", zones, store.address(), folder()));
    startAll(entries);
    Threads.pause(3_000);
    EntryProcess holder = holder(store, entries);
    EntryProcess other = entries.get(entries.get(0) == holder ? 1 : 0);
    record().write("%s holds the lease; requests go to %s", holder.name(), other.name());
    Threads.start(() -> sendRequests(other));
    Threads.pause(5_000);
    if (isTrouble()) {
      link.cut();
    }
    double cutAt = record().now();
    Threads.pause(2_000);
    if (isTrouble()) {
      record().write("%s gets SIGTERM", holder.name());
      holder.terminate();
    }
    Threads.pause((long) (1_000 * (cutAt + CUT_SECONDS - record().now())));
    if (isTrouble()) {
      link.heal();
    }
    double healedAt = record().now();
    Threads.pause(8_000);
    return judge(healedAt);
  }

  private RunnerStandin plainRunner(String id, StoreStandin store) throws IOException {
    return new RunnerStandin(
        id, "desk", "zone-b", List.of(), store, record(), orders::add, run -> {});
  }

  private RunnerStandin runner(String id, String model, StoreStandin store) throws IOException {
    return new RunnerStandin(
        id, "models", "zone-a", List.of(model), store, record(), orders::add, run -> {});
  }

  private static EntryProcess holder(StoreStandin store, List<EntryProcess> entries) {
    String name = store.specTexts("lease", "content", "holder").get(0);
    return entries.stream().filter(each -> name.startsWith(each.name())).findFirst().orElseThrow();
  }

  private void sendRequests(EntryProcess entry) {
    for (int number = 1; true; number++) {
      int each = number;
      Threads.start(() -> sendRequest(entry, each));
      Threads.pause(REQUEST_INTERVAL_MILLISECONDS);
    }
  }

  private void sendRequest(EntryProcess entry, int number) {
    String adapter = "model-1/a" + (1 + number % ADAPTERS);
    String request =
        "POST /draft/x HTTP/1.1\r\nHost: front.example\r\nRequest-Id: r%d\r\nModel: %s\r\n"
            + "Token-Usage: 1460,20\r\nPrompt-Prefix: 5c1e07a2:800,%x:660\r\nDeadline-Ms: %d\r\n"
            + "Content-Length: 4\r\n\r\ntext";
    String outcome;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", entry.callerPort()), 1_000);
      socket.setSoTimeout(DEADLINE_MILLISECONDS);
      socket
          .getOutputStream()
          .write(
              String.format(request, number, adapter, number, DEADLINE_MILLISECONDS)
                  .getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
      outcome = answer == null ? "closed" : "answered " + answer.status();
    } catch (IOException exception) {
      outcome = "failed: " + exception.getMessage();
    }
    record().write("request r%d for %s %s", number, adapter, outcome);
  }

  /** Returns whether a runner got a lower fencing token after a higher one, past the slack. */
  private boolean judge(double healedAt) {
    Map<String, RunnerStandin.Order> highest = new LinkedHashMap<>();
    List<String> broken = new ArrayList<>();
    for (RunnerStandin.Order order : orders) {
      RunnerStandin.Order before = highest.get(order.runner());
      boolean excused = order.at() >= healedAt && order.at() <= healedAt + THAW_SLACK_SECONDS;
      if (before != null && order.fence() < before.fence() && !excused) {
        broken.add(
            String.format(
                "ONE: runner %s got the order %s of %s with fence %d at %.3f s, %.3f s after the"
                    + " cut, although it had an order of %s with fence %d at %.3f s",
                order.runner(),
                order.text(),
                order.holder(),
                order.fence(),
                order.at(),
                order.at() - healedAt,
                before.holder(),
                before.fence(),
                before.at()));
      }
      if (before == null || order.fence() >= before.fence()) {
        highest.put(order.runner(), order);
      }
    }
    broken.forEach(each -> record().write("%s", each));
    return !broken.isEmpty();
  }
}
