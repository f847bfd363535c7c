import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that books visits one after the other on a kept connection to one instance. */
final class OrdinaryClient {
  private final Deployment deployment;
  private final Entry entry;
  private volatile boolean stopped;
  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger notRead = new AtomicInteger();
  final AtomicInteger otherAnswers = new AtomicInteger();
  final AtomicInteger lostAfterRun = new AtomicInteger();
  final AtomicInteger lostBeforeRun = new AtomicInteger();

  OrdinaryClient(Deployment deployment, Entry entry) {
    this.deployment = deployment;
    this.entry = entry;
  }

  void start() {
    Http.daemon("ordinary", this::run);
  }

  void stop() {
    stopped = true;
  }

  private void run() {
    while (!stopped) {
      try (Socket socket = Http.connect(entry.front, 1_000)) {
        socket.setSoTimeout(4_500);
        bookOn(socket);
      } catch (IOException failed) {
        notRead.incrementAndGet();
      }
      try {
        Runner.pause(200);
      } catch (IOException interrupted) {
        return;
      }
    }
  }

  private void bookOn(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    boolean kept = false;
    while (!stopped) {
      String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
      socket
          .getOutputStream()
          .write(
              ("POST " + Deployment.PLAIN_PATH + " HTTP/1.1\r\nHost: " + Deployment.HOST
                      + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 4000\r\nContent-Length: 600"
                      + "\r\n\r\n" + "b".repeat(600))
                  .getBytes(StandardCharsets.ISO_8859_1));
      Http.Message answer;
      try {
        answer = Http.read(in, "POST");
      } catch (IOException cut) {
        ended(id, kept, cut);
        return;
      }
      count(id, answer);
      kept = true;
      if (answer.header("Connection").filter("close"::equalsIgnoreCase).isPresent()) {
        return;
      }
      Runner.pause(50);
    }
  }

  private void ended(String id, boolean kept, IOException cut) throws IOException {
    Runner.pause(300); // A run that has begun is known by now.
    boolean ran = deployment.hasRun(id);
    if (ran && kept) {
      lostAfterRun.incrementAndGet();
    } else {
      lostBeforeRun.incrementAndGet();
    }
    deployment.record.line(
        "%s request %s: connection ended without an answer, kept=%b ran=%b (%s)",
        entry.name, id, kept, ran, cut.getMessage());
  }

  private void count(String id, Http.Message answer) {
    if (answer.status() == 200 && answer.text().equals("answer to " + id)) {
      served.incrementAndGet();
      deployment.record.line("%s request %s: 200", entry.name, id);
    } else if (answer.status() == 503 || answer.status() == 429) {
      refused.incrementAndGet();
      deployment.record.line("%s request %s: %s %s", entry.name, id, answer.first, answer.text());
    } else {
      otherAnswers.incrementAndGet();
      deployment.record.line("%s request %s: %s %s", entry.name, id, answer.first, answer.text());
    }
  }
}
