import java.io.*;
import java.util.*;

/** The record of what was sent, answered and run. */
final class Record {
  private static final long START = System.nanoTime();
  private static PrintWriter out;
  static final Map<String, List<String>> RUNS = new HashMap<>();

  static synchronized void open(String file) throws IOException {
    out = new PrintWriter(new FileWriter(file));
  }

  static synchronized void add(String what, String who, String id, String more) {
    if (what.equals("run")) {
      RUNS.computeIfAbsent(id, k -> new ArrayList<>()).add(who);
    }
    out.printf(
        Locale.ROOT,
        "%8.3f %-8s %-22s %s %s%n",
        (System.nanoTime() - START) / 1e9,
        what,
        who,
        id == null ? "-" : id,
        more);
    out.flush();
  }

  static synchronized List<String> runs(String id) {
    return List.copyOf(RUNS.getOrDefault(id, List.of()));
  }

  static void note(String text) {
    add("note", "case", null, text);
    System.out.println(text);
  }
}
