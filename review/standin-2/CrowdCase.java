import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary clients book visits on kept connections, while a crowd of other clients sends requests
 * of legal size for drafts.
 */
final class CrowdCase {
  private static final int INSTANCES = 3;
  private static final int CALM_SECONDS = 6;
  private static final long RECONNECT_MILLISECONDS = 300;

  private final Runners runners;
  private final Crowd crowd;
  private final int seconds;
  private final Heads heads;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();

  /** The runners of the two services, and how long each request takes them. */
  record Runners(int plain, long plainMilliseconds, int engines, long engineMilliseconds) {}

  /**
   * The clients of the crowd.
   *
   * @param instances how many instances they use, spread evenly
   * @param keepsConnections whether each uses one connection for all its requests
   */
  record Crowd(int clients, int instances, boolean keepsConnections) {}

  /** Writes the heads of the crowd's requests. */
  interface Heads {
    /** Returns the head of a small request, or of one of legal size that causes trouble. */
    String next(String requestId, boolean trouble);
  }

  CrowdCase(Runners runners, Crowd crowd, int seconds, Heads heads) {
    this.runners = runners;
    this.crowd = crowd;
    this.seconds = seconds;
    this.heads = heads;
  }

  /** Runs the case and ends this process: 1 if a rule was broken, 0 if not, 2 if it couldn't run. */
  void run(String recordFile) {
    int code = 2;
    try (Record record = new Record(Path.of(recordFile));
        Deployment deployment =
            new Deployment(record, INSTANCES, runners)) {
      try {
        deployment.start();
        code = play(deployment, record, !"0".equals(System.getenv("TROUBLE")));
      } catch (IOException | RuntimeException | Error failed) {
        record.say("could not run: %s", failed);
      }
    } catch (IOException | RuntimeException | Error failed) {
      System.out.println("could not run: " + failed);
    }
    System.exit(code);
  }

  private int play(Deployment deployment, Record record, boolean trouble) throws IOException {
    Bookings bookings = new Bookings(deployment);
    Runner.pause(CALM_SECONDS * 1_000L);
    record.line("the crowd begins: %d clients, trouble=%b", crowd.clients(), trouble);
    for (int number = 0; number < crowd.clients(); number++) {
      Entry entry = deployment.entries.get(number % crowd.instances());
      Http.daemon("crowd", () -> sendDrafts(deployment, entry, trouble));
    }
    Runner.pause(seconds * 1_000L);
    record.say("crowd: %d requests sent, %d answered", sent.get(), answered.get());
    return bookings.judge();
  }

  /** Sends drafts one after the other until this process ends. */
  private void sendDrafts(Deployment deployment, Entry entry, boolean trouble) {
    try {
      while (true) {
        String id = "";
        try (Socket socket = Http.connect(entry.front, 1_000)) {
          socket.setSoTimeout(6_000);
          InputStream in = new BufferedInputStream(socket.getInputStream());
          do {
            id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
            sent.incrementAndGet();
            socket
                .getOutputStream()
                .write(heads.next(id, trouble).getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(in, "POST");
            answered.incrementAndGet();
            deployment.record.line("%s crowd %s: %s", entry.name, id, answer.first);
            Runner.pause(50);
          } while (crowd.keepsConnections());
        } catch (IOException cut) {
          deployment.record.line("%s crowd %s: cut (%s)", entry.name, id, cut.getMessage());
        }
        Runner.pause(RECONNECT_MILLISECONDS);
      }
    } catch (IOException interrupted) {
      deployment.record.line("%s crowd: stopped", entry.name);
    }
  }
}
