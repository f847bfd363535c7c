import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. Thread-safe. */
final class CaseRecord {
  private final PrintStream file;
  private final long startedAt = System.nanoTime();

  CaseRecord(String path) throws IOException {
    file = new PrintStream(Path.of(path).toFile());
  }

  /** Returns the seconds since the start on the steady clock. */
  double now() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void write(String format, Object... values) {
    String line = String.format(Locale.ROOT, format, values);
    file.printf(Locale.ROOT, "%8.3f s  %s%n", now(), line);
    file.flush();
  }
}
