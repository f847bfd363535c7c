import java.io.*;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;

/** The open connections to the store go silent for good; right after it a runner leaves. */
public final class Silent {
  private static final int CONTACT_MS = 4000;
  private static final int DRAIN_MS = 3000;
  private static final int MARGIN_MS = 50;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record.open(args[0]);
    String net = Http.network();
    Store store = new Store(net + "1");
    store.put("config", "main", Config.of(7));
    for (int i = 0; i < 2; i++) {
      new Runner(net + (10 + i), "i-desk" + i, "wuno96b", "stourbridge", store, null);
    }
    Proxy link = new Proxy(net + "200", store.address());
    Entry entry =
        new Entry("front-stourbridge-1", net + 2, "stourbridge", link.address(), Entry.bounds());
    entry.seeds(List.of(entry));
    entry.start();
    entry.awaitReady(20);
    int late = 0;
    for (int round = 0; round < 3; round++) {
      Runner leaver =
          new Runner(
              net + (20 + round), "i-leaver" + round, "wuno96b", "stourbridge", store, null);
      Thread.sleep(5000 + new Random().nextInt(1200));
      Map<String, Long> sentAt = new ConcurrentHashMap<>();
      long end = System.currentTimeMillis() + 9000;
      List<Thread> threads = new ArrayList<>();
      for (int c = 0; c < 5; c++) {
        String name = "booker" + c;
        threads.add(Http.thread(() -> book(name, entry, end, sentAt)));
      }
      Thread.sleep(1000);
      long silentAt = System.currentTimeMillis();
      if (trouble) {
        link.silence();
        Record.note("the open connections to the store go silent; new ones work");
      }
      Thread.sleep(100);
      leaver.leaveSilently();
      long left = System.currentTimeMillis();
      Record.note(leaver.id + " leaves: its entry is removed; it serves on for many seconds");
      for (Thread each : threads) {
        each.join();
      }
      long judged = Math.max(silentAt + CONTACT_MS, left + DRAIN_MS) + MARGIN_MS;
      int count = 0;
      long last = 0;
      for (Map.Entry<String, Long> each : sentAt.entrySet()) {
        if (Record.runs(each.getKey()).contains(leaver.id)) {
          last = Math.max(last, each.getValue());
          count += each.getValue() >= judged ? 1 : 0;
        }
      }
      late += count;
      Record.note(
          count + " requests ran on " + leaver.id + " that were sent later than contact_ms after"
              + " the silence; the last one " + (last - left) + " ms after its entry was removed");
      leaver.end();
    }
    Record.note(late > 0 ? "DRAIN is broken" : "DRAIN holds");
    System.exit(late > 0 ? 1 : 0);
  }

  /** Books one after the other on a kept connection. */
  private static void book(String name, Entry entry, long end, Map<String, Long> sentAt) {
    try (Client client = new Client(name, entry)) {
      while (System.currentTimeMillis() < end) {
        String id = Client.newId();
        sentAt.put(id, System.currentTimeMillis());
        client.call("POST", "/puxa403/2f", Client.headers(Config.HOST, id, 2500), new byte[600]);
        Runner.pause(40);
      }
    } catch (IOException e) {
      Record.add("note", name, null, "" + e);
    }
  }
}
