import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the store, runners of a plain service and of a service
 * with models, and entry processes, which are started again when they end, as the platform does.
 */
final class Deployment implements AutoCloseable {
  static final String HOST = "seals.example";
  static final String MODEL = "m1";
  static final String PLAIN_PATH = "/book/visit";
  static final String STREAM_PATH = "/draft/quote";
  private static final String[] ZONES = {"kochi-ernakulam", "kochi-aluva", "kozhikode-beach"};
  private static final String[] REGIONS = {"kochi", "kochi", "kozhikode"};
  private static final String IP = "127.0.0.1";
  private static final long READY_SECONDS = 40;
  static final long HEARTBEAT_MILLISECONDS = 1_200;

  final Record record;
  final Path folder;
  final Store store;
  final List<Runner> runners = new ArrayList<>();
  final List<Entry> entries = new ArrayList<>();
  final int[] endedByThemselves;
  private final Map<String, String> registered = new ConcurrentHashMap<>();
  private volatile boolean closing;
  private volatile boolean broken;

  Deployment(Record record, int instances, CrowdCase.Runners kinds) throws IOException {
    this.record = record;
    folder = Files.createTempDirectory("review-2-");
    store = new Store(IP, HEARTBEAT_MILLISECONDS);
    for (int number = 0; number < kinds.plain(); number++) {
      add(new Runner(record, "i-desk" + number, IP, "crew-desk", ZONES[number % 3], 6,
          kinds.plainMilliseconds(),
          List.of()));
    }
    for (int number = 0; number < kinds.engines(); number++) {
      add(new Runner(record, "i-scribe" + number, IP, "seal-scribe", ZONES[number % 3], 96,
          kinds.engineMilliseconds(), List.of(MODEL)));
    }
    for (int number = 0; number < instances; number++) {
      entries.add(new Entry("front-" + ZONES[number % 3] + "-" + (number / 3 + 1), IP,
          ZONES[number % 3], REGIONS[number % 3]));
    }
    endedByThemselves = new int[instances];
    store.put("config", "main", configuration());
    Http.daemon("heartbeats", this::beat);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses, "end"));
  }

  private void add(Runner runner) throws IOException {
    runners.add(runner);
    register(runner.id, runner.entry());
  }

  /** Writes an entry of the kind of the runners now and with every heartbeat. */
  void register(String name, String entry) throws IOException {
    registered.put(name, entry);
    store.put("servers", name, entry);
  }

  private void beat() {
    try {
      while (true) {
        Runner.pause(HEARTBEAT_MILLISECONDS);
        for (Map.Entry<String, String> each : registered.entrySet()) {
          store.put("servers", each.getKey(), each.getValue());
        }
      }
    } catch (IOException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":\"" + HOST
        + "\",\"path_prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":4000,"
        + "\"goal_ms\":486,\"priority\":2,\"service\":\"crew-desk\",\"max_attempts\":2},"
        + "{\"name\":\"r-draft\",\"host\":\"" + HOST
        + "\",\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":5000,"
        + "\"goal_ms\":1000,\"priority\":1,\"service\":\"seal-scribe\",\"max_attempts\":2,"
        + "\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":250}],\"services\":["
        + "{\"name\":\"crew-desk\",\"health_path\":\"/health\",\"max_conns\":110},"
        + "{\"name\":\"seal-scribe\",\"health_path\":\"/health\",\"max_conns\":500,"
        + "\"engine\":{\"slots\":96,\"kv_capacity\":131389,\"weights_mb\":83000,"
        + "\"adapter_slots\":8,\"load_per_s\":1.5,\"models\":[{\"name\":\"" + MODEL
        + "\",\"weights_mb\":16100,\"load_s\":2.6,\"adapters\":0,\"adapter_mb\":14}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  /** Starts all entry processes and waits until they are ready. */
  void start() throws IOException {
    for (Entry each : entries) {
      each.start(folder, store.address(), entries);
    }
    long until = System.nanoTime() + READY_SECONDS * 1_000_000_000L;
    for (Entry each : entries) {
      while (!each.isReady()) {
        if (System.nanoTime() > until || !each.isAlive()) {
          record.line("%s wrote last:\n%s", each.name, each.lastLines());
          throw new IOException(each.name + " is not ready");
        }
        Runner.pause(100);
      }
    }
    record.line("all %d instances are ready", entries.size());
    Http.daemon("platform", this::restartEnded);
  }

  private void restartEnded() {
    try {
      while (!closing) {
        for (int number = 0; number < entries.size(); number++) {
          Entry each = entries.get(number);
          if (!each.isAlive() && !closing) {
            endedByThemselves[number]++;
            record.say("%s ended by itself, exit code %d", each.name, each.process().exitValue());
            Runner.pause(500);
            if (!closing) {
              each.restart();
            }
          }
        }
        Runner.pause(50);
      }
    } catch (IOException failed) {
      broken = true;
      record.say("restarting failed: %s", failed);
    }
  }

  /** Returns whether a process that had ended could not be started again. */
  boolean isBroken() {
    return broken;
  }

  boolean hasRun(String request) {
    return runners.stream().anyMatch(each -> each.hasRun(request));
  }

  /** Ends all processes that were started, also if this program is interrupted. */
  private void endProcesses() {
    closing = true;
    for (Entry each : entries) {
      try {
        each.close();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    for (Runner each : runners) {
      each.close();
    }
    store.close();
    if (System.getenv("KEEP") != null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }
}
