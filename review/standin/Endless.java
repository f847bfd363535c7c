import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.atomic.AtomicLong;

/** One of three model runners begins a stream well and goes on with empty lines without end. */
public final class Endless {
  private static final int TIMEOUT_MS = 1200; // Of the bookings' route.
  private static final AtomicLong BYTES = new AtomicLong();

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record.open(args[0]);
    String net = Http.network();
    Store store = new Store(net + "1");
    store.put("config", "main", Config.of(7));
    for (int i = 0; i < 3; i++) {
      new Runner(net + (10 + i), "i-desk" + i, "wuno96b", "stourbridge", store, null);
    }
    List<String> models = List.of("daka510000");
    if (trouble) {
      new EndlessRunner(net + 20, "i-llm0", store, models);
    } else {
      new Runner(net + 20, "i-llm0", "huvo11a", "stourbridge", store, models);
    }
    new Runner(net + 21, "i-llm1", "huvo11a", "stourbridge", store, models);
    new Runner(net + 22, "i-llm2", "huvo11a", "stourbridge", store, models);
    Entry entry =
        new Entry("front-stourbridge-1", net + 2, "stourbridge", store.address(), Entry.bounds());
    entry.seeds(List.of(entry));
    entry.start();
    entry.awaitReady(20);
    Thread.sleep(5000);
    long end = System.currentTimeMillis() + 15_000;
    List<Client.Answer> bookings = Collections.synchronizedList(new ArrayList<>());
    List<Thread> threads = new ArrayList<>();
    for (int c = 0; c < 8; c++) {
      String name = "booker" + c;
      threads.add(Http.thread(() -> book(name, entry, end, bookings)));
    }
    for (int c = 0; c < 6; c++) {
      int number = c;
      threads.add(Http.thread(() -> draft("drafter" + number, number, entry, end)));
    }
    while (System.currentTimeMillis() < end) {
      Thread.sleep(1000);
      Record.add(
          "note",
          entry.name,
          null,
          "runs=" + entry.process.isAlive() + " ready=" + entry.isReady() + " endless bytes="
              + BYTES.get());
    }
    for (Thread each : threads) {
      each.join(6000);
    }
    int longer = 0;
    int unanswered = 0;
    int answered = 0;
    for (Client.Answer each : bookings) {
      boolean final_ = each.status() > 0;
      answered += final_ ? 1 : 0;
      longer += each.ms() > TIMEOUT_MS ? 1 : 0;
      unanswered += each.ms() > TIMEOUT_MS + 500 ? 1 : 0;
    }
    Record.note(
        bookings.size() + " bookings sent, " + answered + " answered; " + longer
            + " lasted longer than timeout_ms (" + TIMEOUT_MS + "), " + unanswered
            + " of these had no final answer 0.5 s after it");
    boolean broken = unanswered >= 8 && unanswered * 4 > longer;
    Record.note(broken ? "CONFIG is broken" : "CONFIG holds");
    System.exit(broken ? 1 : 0);
  }

  /** Sends one booking after the other on a kept connection. */
  private static void book(String name, Entry entry, long end, List<Client.Answer> bookings) {
    Client client = null;
    while (System.currentTimeMillis() < end) {
      try {
        client = client == null ? new Client(name, entry) : client;
        Client.Answer answer =
            client.call(
                "POST",
                "/puxa403/2f",
                Client.headers(Config.HOST, Client.newId(), 2500),
                new byte[600]);
        bookings.add(answer);
        if (answer.status() <= 0) {
          client.close();
          client = null;
        }
      } catch (IOException e) {
        Record.add("note", name, null, "cannot connect: " + e.getMessage());
      }
      Runner.pause(500);
    }
  }

  /** Asks for one draft after the other, each on a new connection, and reads it to its end. */
  private static void draft(String name, int number, Entry entry, long end) {
    while (System.currentTimeMillis() < end) {
      String id = Client.newId();
      try (Client client = new Client(name, entry)) {
        Map<String, String> headers = Client.headers(Config.HOST, id, 5000);
        headers.put("Model", "daka510000");
        headers.put("Token-Usage", "1460,80");
        headers.put("Prompt-Prefix", "5c1e07a2:800,91bd3f0" + number + ":410," + id + ":250");
        Record.add("sent", name, id, "POST /lohu930/2f");
        byte[] request = Http.message("POST /lohu930/2f HTTP/1.1", headers, new byte[4700]);
        client.socket.getOutputStream().write(request);
        client.socket.setSoTimeout(5000);
        Http.Message m = Http.head(client.in);
        long[] bytes = {0};
        Http.body(client.in, m, true, (buffer, n) -> bytes[0] += n);
        Record.add("answer", name, id, m.status() + " whole=" + m.whole + " bytes " + bytes[0]);
      } catch (IOException | RuntimeException e) {
        Record.add("answer", name, id, "broken off: " + e);
      }
      Runner.pause(1000);
    }
  }

  /** Begins each stream well and goes on with empty lines until the caller closes. */
  private static final class EndlessRunner extends Runner {
    EndlessRunner(String ip, String id, Store store, List<String> models) throws IOException {
      super(ip, id, "huvo11a", "stourbridge", store, models);
    }

    @Override
    boolean run(Http.Message m, Socket connection, OutputStream out) throws IOException {
      Record.add("run", id, m.header("request-id"), "begins, then empty lines without end");
      out.write(streamHead(m));
      chunk(out, "id: 1\ndata: piece 1\n\n");
      String lines = "\n".repeat(32768);
      try {
        while (true) {
          chunk(out, lines);
          BYTES.addAndGet(lines.length());
        }
      } finally {
        Record.add("ran", id, m.header("request-id"), "the caller closed");
      }
    }
  }
}
