import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.*;
import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An order to load a model gets no answer and is carried out late; it is sent once more and answered.
 * Meanwhile its runner crashes and starts again under its id. With -Dhandover=true it isn't sent
 * again, as the machine that sent it is stopped as planned.
 */
public final class LateOrder {
  private static final double WEIGHTS_MB = 83000;
  private static final double MODEL_MB = 34300;
  private static final int LATE_MS = 11000;
  private static final List<String> MODELS = List.of("m1", "m2", "m3");
  private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final boolean HANDOVER = Boolean.getBoolean("handover");
  private static volatile boolean broken;

  public static void main(String[] args) throws Exception {
    Record.open(args[0]);
    String net = Http.network();
    Store store = new Store(net + "1");
    store.put("config", "main", config());
    LateRunner runner = new LateRunner(net + 20, store);
    for (int i = 1; i < 4; i++) {
      List<String> held = List.of("p" + (2 * i - 1), "p" + 2 * i);
      new Runner(net + (20 + i), "i-llm" + i, "huvo11a", "stourbridge", store, held);
    }
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      entries.add(
          new Entry(
              "front-stourbridge-" + (i + 1),
              net + (2 + i),
              "stourbridge",
              store.address(),
              Entry.bounds()));
    }
    for (Entry each : entries) {
      each.seeds(entries);
      each.start();
    }
    for (Entry each : entries) {
      each.awaitReady(20);
    }
    for (int i = 1; i <= 6; i++) {
      String model = "p" + i;
      Http.thread(() -> askSteadily(entries, model));
    }
    Thread.sleep(6000);
    Record.note("requests for m2");
    ask(entries.get(0), "m2", 4);
    ask(entries.get(1), "m2", 4);
    Thread.sleep(5000);
    Record.note("the runner holds " + runner.models + ", seq " + runner.seq);
    Record.note("requests for m3");
    ask(entries.get(0), "m3", 4);
    ask(entries.get(1), "m3", 4);
    String holder = runner.awaitLoad("m3", 10);
    if (holder == null) {
      Record.note("no order to load m3 came");
      System.exit(2);
    }
    long t0 = System.currentTimeMillis();
    List<Entry> asked = new ArrayList<>(entries);
    if (HANDOVER) {
      Entry planner = holder.startsWith(entries.get(0).name + "-") ? entries.get(0) : entries.get(1);
      Record.note("SIGTERM to " + planner.name + " (planned stop)");
      planner.signal("TERM");
      asked.remove(planner);
    } else {
      Thread.sleep(2500);
    }
    Record.note("the runner holds " + runner.models + ", seq " + runner.seq);
    if (TROUBLE) {
      runner.crash();
      Thread.sleep(1500);
      runner.comeBack();
    }
    for (int i = 0; i < 9; i++) {
      for (Entry each : asked) {
        ask(each, "m1", 3);
        ask(each, "m2", 3);
      }
      Thread.sleep(Math.max(0, t0 + 4000 + (i + 1) * 1000L - System.currentTimeMillis()));
      Record.add("note", runner.id, null, "holds " + runner.models + ", seq " + runner.seq);
    }
    Thread.sleep(Math.max(0, t0 + LATE_MS + 2500 - System.currentTimeMillis()));
    Record.note(broken ? "LIMIT is broken" : "LIMIT holds");
    System.exit(broken ? 1 : 0);
  }

  private static ObjectNode config() {
    ObjectNode c = Config.of(7);
    ArrayNode models = (ArrayNode) c.path("services").path(1).path("engine").path("models");
    models.removeAll();
    List<String> names = new ArrayList<>(MODELS);
    for (int i = 1; i <= 6; i++) {
      names.add("p" + i);
    }
    for (String each : names) {
      ObjectNode m = models.addObject().put("name", each).put("weights_mb", MODEL_MB);
      m.put("load_s", 4.0).put("warm_s", 0.78).put("disk_s", 1.0);
      m.put("adapters", 0).put("adapter_mb", 40.0);
    }
    return c;
  }

  /** Asks for a model that another runner holds, so that it stays in use there. */
  private static void askSteadily(List<Entry> entries, String model) {
    for (int i = 0; true; i++) {
      Entry entry = entries.get(i % entries.size());
      if (entry.isReady()) {
        ask(entry, model, 1, 146);
      }
      Runner.pause(400);
    }
  }

  private static void ask(Entry entry, String model, int count) {
    ask(entry, model, count, 1460);
  }

  private static void ask(Entry entry, String model, int count, int tokens) {
    for (int i = 0; i < count; i++) {
      Http.thread(
          () -> {
            String id = Client.newId();
            Map<String, String> h = Client.headers(Config.HOST, id, 5000);
            h.put("Model", model);
            h.put("Token-Usage", tokens + ",80");
            h.put("Prompt-Prefix", "5c1e07a2:" + tokens / 2 + "," + id + ":" + tokens / 2);
            try (Client client = new Client("client-of-" + entry.name, entry)) {
              client.call("POST", "/lohu930/2f", h, new byte[4700]);
            } catch (IOException e) {
              Record.add("answer", entry.name, id, "cannot connect");
            }
          });
    }
  }

  /** A runner that carries out orders; it crashes if it has to load more than it can hold. */
  private static final class LateRunner extends Runner {
    private volatile boolean down;
    private volatile long busyUntil;
    private int lives = 1;
    int seq;
    private final AtomicReference<String> loadHolder = new AtomicReference<>();
    private String awaited = "";

    LateRunner(String ip, Store store) throws IOException {
      super(ip, "i-llm0", "huvo11a", "stourbridge", store, List.of("m1"));
    }

    String awaitLoad(String model, int seconds) throws InterruptedException {
      long end = System.currentTimeMillis() + seconds * 1000L;
      synchronized (this) {
        awaited = model;
      }
      while (loadHolder.get() == null && System.currentTimeMillis() < end) {
        Thread.sleep(5);
      }
      return loadHolder.get();
    }

    synchronized void crash() throws IOException {
      Record.note(id + " crashes");
      down = true;
      models.clear();
      stopListening();
    }

    synchronized void comeBack() throws IOException {
      listenAgain();
      born = System.currentTimeMillis();

      seq = 0;
      busyUntil = 0;
      lives++;
      down = false;
      Record.note(id + " starts again under its id, empty, seq 0");
      beat();
    }

    @Override
    synchronized void beat() {
      if (!down) {
        super.beat();
      }
    }

    @Override
    boolean handle(Http.Message m, Socket connection, OutputStream out) throws IOException {
      if (down) {
        return false;
      }
      if (m.uri().startsWith("/api/report")) {
        ObjectNode o = Store.JSON.createObjectNode();
        synchronized (this) {
          o.put("stage", "both").put("busy", busy()).put("seq", seq).put("waiting", 0);
          o.put("running", 0).put("kv_used", 0).put("kv_total", 120987).put("born", born);
          ArrayNode list = o.putArray("models");
          models.forEach(
              x -> list.addObject().put("name", x).put("version", 1).putArray("adapters"));
          ArrayNode disk = o.putObject("at_hand").putArray("on_disk");
          MODELS.forEach(disk::add);
        }
        out.write(Http.message("HTTP/1.1 200 OK", Map.of(), o.toString()));
        return true;
      }
      if (m.uri().startsWith("/api/order")) {
        JsonNode order = Store.JSON.readTree(m.body);
        String text = order.toString();
        boolean late;
        synchronized (this) {
          late =
              order.path("op_type").asText().equals("load")
                  && order.path("model").asText().equals(awaited)
                  && loadHolder.compareAndSet(null, order.path("holder").asText());
        }
        if (late && TROUBLE) {
          Record.add("order", id, null, "no answer, carried out in " + LATE_MS + " ms: " + text);
          Http.thread(
              () -> {
                pause(LATE_MS);
                Record.add("order", id, null, "carried out late: " + carryOut(order) + " " + text);
              });
          pause(1500); // The planner gives up sooner.
          return false;
        }
        int status = carryOut(order);
        Record.add("order", id, null, status + " " + text);
        out.write(Http.message("HTTP/1.1 " + status + " X", Map.of(), "{}"));
        return true;
      }
      if (m.header("request-id") != null && !models.contains(m.header("model"))) {
        out.write(Http.message("HTTP/1.1 421 X", Map.of("Instance-Id", id), ""));
        return true;
      }
      return super.handle(m, connection, out);
    }

    private boolean busy() {
      return System.currentTimeMillis() < busyUntil;
    }

    private synchronized int carryOut(JsonNode order) {
      JsonNode expected = order.path("precondition");
      if (down) {
        return 0;
      }
      if (busy() || (!expected.isMissingNode() && expected.asInt() != seq)) {
        return 409;
      }
      String model = order.path("model").asText();
      boolean load = order.path("op_type").asText().equals("load");
      if (models.contains(model) == load) {
        return 200;
      }
      seq++;
      if (!load) {
        models.remove(model);
        return 202;
      }
      double after = (models.size() + 1) * MODEL_MB;
      if (after > WEIGHTS_MB) {
        broken = true;
        Record.note(
            id + " is ordered to load " + model + " beside " + models + ": " + (int) after
                + " MB of " + (int) WEIGHTS_MB);
        down = true;
        return 202;
      }
      busyUntil = System.currentTimeMillis() + 1000;
      int life = lives;
      Http.thread(
          () -> {
            pause(1000);
            synchronized (this) {
              if (lives == life && !down) {
                models.add(model);
                beat();
              }
            }
          });
      return 202;
    }
  }
}
