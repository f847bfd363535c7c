import java.io.IOException;
import java.nio.file.Path;

/** Entries of another writer among those of the runners, each as large as the store allows. */
final class Case8 {
  private static final int INSTANCES = 3;
  private static final int CALM_SECONDS = 6;
  private static final int TROUBLE_SECONDS = 40;
  private static final int ENTRIES = 8;
  private static final int ENTRY_BYTES = 1_040_000; // value_bytes in the settings is 1,048,576.
  private static final String ODD =
      "{\"service\":\"crew-desk\",\"address\":7,\"state\":\"ready\",\"note\":[";

  private Case8() {}

  public static void main(String[] arguments) {
    int code = 2;
    try (Record record = new Record(Path.of(arguments[0]));
        Deployment deployment =
            new Deployment(record, INSTANCES, new CrowdCase.Runners(9, 300, 2, 400))) {
      try {
        deployment.start();
        code = play(deployment, record, !"0".equals(System.getenv("TROUBLE")));
      } catch (IOException | RuntimeException failed) {
        record.say("could not run: %s", failed);
      }
    } catch (IOException | RuntimeException failed) {
      System.out.println("could not run: " + failed);
    }
    System.exit(code);
  }

  private static int play(Deployment deployment, Record record, boolean trouble)
      throws IOException {
    Bookings bookings = new Bookings(deployment);
    Runner.pause(CALM_SECONDS * 1_000L);
    String entry = entry(trouble);
    for (int number = 0; number < ENTRIES; number++) {
      record.line("another writer puts servers/x-%d, %d bytes", number, entry.length());
      deployment.store.put("servers", "x-" + number, entry);
      Runner.pause(1_000);
    }
    Runner.pause((TROUBLE_SECONDS - ENTRIES) * 1_000L);
    return bookings.judge();
  }

  /** Returns an entry whose address is of another type. */
  private static String entry(boolean large) {
    StringBuilder entry = new StringBuilder(ODD);
    while (large && entry.length() < ENTRY_BYTES) {
      entry.append("{},");
    }
    return entry.append("{}]}").toString();
  }
}
