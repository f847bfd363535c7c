import java.io.*;
import java.util.*;

/** A machine restarts while it is cut off from the store; meanwhile a runner leaves silently. */
public final class Ghost {
  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record.open(args[0]);
    String net = Http.network();
    Store store = new Store(net + "1");
    store.put("config", "main", Config.of(7));
    List<Runner> desk = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      desk.add(new Runner(net + (10 + i), "i-desk" + i, "wuno96b", "stourbridge", store, null));
    }
    List<Entry> entries = new ArrayList<>();
    Proxy link = new Proxy(net + "200", store.address());
    for (int i = 0; i < 3; i++) {
      entries.add(
          new Entry(
              "front-stourbridge-" + (i + 1),
              net + (2 + i),
              "stourbridge",
              i == 0 ? link.address() : store.address(),
              Entry.bounds()));
    }
    for (Entry each : entries) {
      each.seeds(entries);
      each.start();
    }
    for (Entry each : entries) {
      each.awaitReady(20);
    }
    Thread.sleep(5000);
    Entry restarted = entries.get(0);
    Record.note("SIGTERM to " + restarted.name + " (planned restart)");
    restarted.signal("TERM");
    Thread.sleep(2500);
    if (trouble) {
      Record.note(restarted.name + " is cut off from the store for 5.5 s");
      link.cut(true);
    }
    final long cutAt = System.currentTimeMillis();
    restarted.process.waitFor();
    Record.note(restarted.name + " ended, code " + restarted.process.exitValue());
    restarted.start();
    final long startedAt = System.currentTimeMillis();
    Record.note(restarted.name + " starts again");
    Thread.sleep(Math.max(0, cutAt + 4700 - System.currentTimeMillis()));
    Runner leaver = desk.get(2);
    leaver.leaveSilently();
    final long left = System.currentTimeMillis();
    Record.note(leaver.id + " leaves: its entry is removed; it serves on for many seconds");
    Thread.sleep(Math.max(0, cutAt + 5500 - System.currentTimeMillis()));
    link.cut(false);
    final long healed = System.currentTimeMillis();
    Record.note("the store is reached again");
    restarted.awaitReady(10);
    long judged = Math.max(Math.max(healed, startedAt) + 4000, left + 3000) + 500;
    Thread.sleep(Math.max(0, judged - System.currentTimeMillis()));
    Record.note("judged from now on: all machines are in touch");
    Set<String> ids = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      for (Entry each : entries) {
        try (Client c = new Client("client-of-" + each.name, each)) {
          String id = Client.newId();
          ids.add(id);
          c.call("POST", "/puxa403/2f", Client.headers(Config.HOST, id, 2500), new byte[600]);
        }
      }
    }
    List<Thread> threads = new ArrayList<>();
    java.util.concurrent.atomic.AtomicInteger failed = new java.util.concurrent.atomic.AtomicInteger();
    for (int i = 0; i < 6; i++) {
      threads.add(Http.thread(() -> failed.addAndGet(failures(restarted, ids))));
    }
    Thread.sleep(1500);
    leaver.end();
    Record.note(leaver.id + " ends, " + (System.currentTimeMillis() - left) + " ms after its entry");
    for (Thread each : threads) {
      each.join();
    }
    Record.note(failed.get() + " bookings of clients got no success as " + leaver.id + " ended");
    int late = 0;
    for (String id : ids) {
      late += Record.runs(id).contains(leaver.id) ? 1 : 0;
    }
    Record.note(
        late + " of " + ids.size() + " requests ran on " + leaver.id + ", whose entry was removed "
            + (judged - left) + " ms and more before they were sent (drain_ms 3000)");
    System.exit(late > 0 ? 1 : 0);
  }

  /** Books one after the other for 3 s; returns how many bookings got no success. */
  private static int failures(Entry entry, Set<String> ids) {
    int failures = 0;
    long end = System.currentTimeMillis() + 3000;
    while (System.currentTimeMillis() < end) {
      try (Client c = new Client("client-of-" + entry.name, entry)) {
        String id = Client.newId();
        synchronized (ids) {
          ids.add(id);
        }
        Client.Answer answer =
            c.call("POST", "/puxa403/2f", Client.headers(Config.HOST, id, 2500), new byte[600]);
        failures += answer.status() == 200 ? 0 : 1;
      } catch (IOException e) {
        failures++;
      }
    }
    return failures;
  }
}
