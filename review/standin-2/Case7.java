import java.io.IOException;
import java.nio.file.Path;

/** One entry of another writer among those of the runners, as large as the store allows. */
final class Case7 {
  private static final int INSTANCES = 3;
  private static final int CALM_SECONDS = 6;
  private static final int TROUBLE_SECONDS = 60;
  private static final int ENTRY_BYTES = 1_040_000; // value_bytes in the settings is 1,048,576.
  private static final String ODD =
      "{\"service\":\"crew-desk\",\"address\":7,\"state\":\"ready\",\"note\":[";

  private Case7() {}

  public static void main(String[] arguments) {
    int code = 2;
    try (Record record = new Record(Path.of(arguments[0]));
        Deployment deployment =
            new Deployment(record, INSTANCES, new CrowdCase.Runners(9, 300, 2, 400))) {
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

  private static int play(Deployment deployment, Record record, boolean trouble)
      throws IOException {
    Bookings bookings = new Bookings(deployment);
    Runner.pause(CALM_SECONDS * 1_000L);
    long end = System.nanoTime() + TROUBLE_SECONDS * 1_000_000_000L;
    for (int seq = 1; System.nanoTime() < end; seq++) {
      String entry = entry(seq, trouble);
      record.line("another writer puts servers/x-1, seq %d, %d bytes", seq, entry.length());
      deployment.store.put("servers", "x-1", entry);
      Runner.pause(Deployment.HEARTBEAT_MILLISECONDS);
    }
    return bookings.judge();
  }

  /** Returns an entry whose address is of another type. */
  private static String entry(int seq, boolean large) {
    StringBuilder entry = new StringBuilder(ODD + "{\"seq\":" + seq + "},");
    while (large && entry.length() < ENTRY_BYTES) {
      entry.append("{},");
    }
    return entry.append("{}]}").toString();
  }
}
