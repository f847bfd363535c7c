package org.agatefield.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps keys to their lines in a TOML text, which the parser's tree does not record.
 *
 * <p>Recognizes table headers and bare keys only; the settings use nothing else. Immutable.
 */
final class TomlLineIndex {
  private static final Pattern TABLE = Pattern.compile("^\\s*\\[\\s*([A-Za-z0-9_.-]+)\\s*]");
  private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.-]+)\\s*=");

  private final Map<String, Integer> lines = new HashMap<>();

  TomlLineIndex(String text) {
    String table = "";
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      Matcher tableMatcher = TABLE.matcher(line);
      if (tableMatcher.find()) {
        table = tableMatcher.group(1);
        lines.putIfAbsent(table, number);
        continue;
      }
      Matcher keyMatcher = KEY.matcher(line);
      if (keyMatcher.find()) {
        String key = table.isEmpty() ? keyMatcher.group(1) : table + "." + keyMatcher.group(1);
        lines.putIfAbsent(key, number);
      }
    }
  }

  /** Returns the line of a key or table, counted from 1. */
  OptionalInt lineOf(String key) {
    Integer line = lines.get(key);
    return line == null ? OptionalInt.empty() : OptionalInt.of(line);
  }
}
