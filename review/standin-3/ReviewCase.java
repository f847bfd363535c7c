import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs one case and ends the program with its verdict: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run.
 */
abstract class ReviewCase {
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  private final List<EntryProcess> entries = new ArrayList<>();
  private Path folder;
  private CaseRecord record;
  private boolean trouble;

  /** Plays the case; returns whether the rule was broken. */
  abstract boolean play() throws Exception;

  /**
   * Plays the case and ends the program.
   *
   * @param arguments the path of the record, and the value of TROUBLE
   */
  void run(String[] arguments) {
    trouble = !arguments[1].equals("0");
    int verdict = NOT_RUN;
    Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(EntryProcess::kill)));
    try {
      record = new CaseRecord(arguments[0]);
      folder = Files.createTempDirectory("agatefield-review");
      record.write("disruption: %s", isTrouble() ? "yes" : "no");
      boolean broken = play();
      verdict = broken ? BROKEN : 0;
      record.write("verdict: the rule %s", broken ? "was broken" : "held");
    } catch (Exception exception) {
      exception.printStackTrace();
    }
    entries.forEach(EntryProcess::kill);
    deleteFolder();
    System.exit(verdict);
  }

  private void deleteFolder() {
    if (folder == null || "1".equals(System.getenv("KEEP"))) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
    } catch (IOException exception) {
      exception.printStackTrace();
    }
  }

  /** Returns whether the disruption is to be brought about. */
  boolean isTrouble() {
    return trouble;
  }

  CaseRecord record() {
    return record;
  }

  Path folder() {
    return folder;
  }

  /** Starts instances that know each other and waits until all are ready. */
  void startAll(List<EntryProcess> started) throws IOException {
    entries.addAll(started);
    List<String> seeds = started.stream().map(EntryProcess::control).toList();
    for (EntryProcess each : started) {
      each.start(seeds);
    }
    started.forEach(each -> each.awaitReady(20_000));
  }
}
