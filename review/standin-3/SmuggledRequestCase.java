import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client that nobody controls sends requests whose bodies hold the text of another request.
 * Judges by the rule UNASKED whether a runner runs one that stands inside another.
 */
final class SmuggledRequestCase extends ReviewCase {
  private static final int ROUNDS = 5;
  private static final int ANSWER_MILLISECONDS = 1_000;

  private final Set<String> run = ConcurrentHashMap.newKeySet();

  public static void main(String[] arguments) {
    new SmuggledRequestCase().run(arguments);
  }

  @Override
  boolean play() throws Exception {
    StoreStandin store = new StoreStandin();
    for (int number = 1; number <= 2; number++) {
      new RunnerStandin(
              "desk-" + number,
              "desk",
              "zone-a",
              List.of(),
              store,
              record(),
              order -> {},
              this::recordRun)
          .start();
    }
    store.put(
        "config",
        "main",
        Deployment.configuration(
            List.of(
                Deployment.route("booking", "non_idempotent", 4_000, "desk", 1),
                Deployment.route("status", "idempotent", 4_000, "desk", 2)),
            List.of(Deployment.plainService("desk"))));
    Map<String, String> zones = new LinkedHashMap<>(Map.of("zone-a", "region-a"));
    EntryProcess entry = new EntryProcess("front-a-1", "zone-a", zones, store.address(), folder());
    startAll(List.of(entry));
    Threads.pause(1_000);
    List<String> sent = new ArrayList<>();
    for (int round = 1; round <= ROUNDS; round++) {
      for (Form form : Form.values()) {
        String id = form.name().toLowerCase() + "-" + round;
        sent.add(id);
        send(entry, form, id);
      }
    }
    return judge(sent);
  }

  /** How the body of the outer request is framed when there is a disruption. */
  private enum Form {
    /** A chunk of 4 GiB begins; what follows, an empty line first, is its data. */
    HUGE_CHUNK("Transfer-Encoding: chunked\r\n", "100000000\r\n\r\n"),
    /** The last transfer coding is not chunked, so that the length of the body is unknown. */
    UNKNOWN_LENGTH("Transfer-Encoding: gzip\r\n", "");

    private final String fields;
    private final String beforeInner;

    Form(String fields, String beforeInner) {
      this.fields = fields;
      this.beforeInner = beforeInner;
    }
  }

  private void recordRun(HttpMessage request) {
    String id = request.field("Request-Id");
    run.add(id);
    record().write("runner runs %s, id %s, body of %d", request.firstLine(), id, request.body().length);
  }

  private void send(EntryProcess entry, Form form, String id) throws IOException {
    String inner =
        "GET /status/inner HTTP/1.1\r\nHost: front.example\r\nRequest-Id: inner-" + id + "\r\n\r\n";
    String head =
        "POST /booking/x HTTP/1.1\r\nHost: front.example\r\nRequest-Id: outer-" + id
            + "\r\nDeadline-Ms: 4000\r\n";
    String request =
        isTrouble()
            ? head + form.fields + "\r\n" + form.beforeInner + inner
            : head + "Content-Length: " + inner.length() + "\r\n\r\n" + inner;
    record().write("client sends outer-%s; its body holds inner-%s", id, id);
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", entry.callerPort()), 1_000);
      socket.setSoTimeout(ANSWER_MILLISECONDS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      record().write("client gets %s", readAll(socket).replace("\r\n", " | "));
    }
  }

  private static String readAll(Socket socket) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    try {
      socket.getInputStream().transferTo(all);
    } catch (SocketTimeoutException exception) {
      // The connection stays open.
    }
    return all.toString(StandardCharsets.ISO_8859_1);
  }

  private boolean judge(List<String> sent) {
    boolean broken = false;
    for (String id : sent) {
      if (run.contains("inner-" + id)) {
        record().write("UNASKED: a runner ran inner-%s, which stood inside outer-%s", id, id);
        broken = true;
      }
    }
    return broken;
  }
}
