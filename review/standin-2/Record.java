import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter file;
  private final long start = System.nanoTime();

  Record(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path));
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String format, Object... arguments) {
    file.println(
        String.format(Locale.ROOT, "%9.3f  ", seconds())
            + String.format(Locale.ROOT, format, arguments));
    file.flush();
  }

  /** Writes a line to the record and to the standard output. */
  void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
