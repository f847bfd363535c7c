package org.agatefield.configuration.check;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.agatefield.configuration.check.CheckFinding.Severity;

/**
 * The result of a check. Immutable.
 *
 * <p>Invariant: findings are ordered by line, and those without a line come first.
 *
 * @param findings errors and warnings
 * @param changes the differences from the configuration in force; empty if there was none to
 *     compare with
 */
public record CheckReport(List<CheckFinding> findings, Optional<List<CheckChange>> changes) {
  /** Orders the findings. */
  public CheckReport {
    findings =
        findings.stream()
            .sorted(Comparator.comparingInt(finding -> finding.line().orElse(0)))
            .toList();
    changes = changes.map(List::copyOf);
  }

  /** Returns a report of errors alone. */
  public static CheckReport ofErrors(List<CheckFinding> errors) {
    return new CheckReport(errors, Optional.empty());
  }

  /** Returns whether there is at least one error. */
  public boolean hasErrors() {
    return count(Severity.ERROR) > 0;
  }

  /**
   * Returns the report as text, one line for each finding and change.
   *
   * @param file the name of the file, with which the lines of findings begin
   */
  public String toText(String file) {
    List<String> lines = new ArrayList<>();
    for (CheckFinding finding : findings) {
      String place = finding.line().isPresent() ? file + ":" + finding.line().getAsInt() : file;
      lines.add(
          place
              + ": "
              + name(finding.severity())
              + ": "
              + finding.path()
              + ": found "
              + finding.found()
              + "; expected: "
              + finding.expected());
    }
    changes.ifPresent(known -> known.forEach(change -> addLines(lines, change)));
    lines.add(summary(file));
    return String.join("\n", lines.stream().map(CheckReport::withoutControlCharacters).toList());
  }

  /** Returns the report as a JSON tree. */
  public ObjectNode toJson() {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("errors", count(Severity.ERROR));
    root.put("warnings", count(Severity.WARNING));
    ArrayNode listed = root.putArray("findings");
    for (CheckFinding finding : findings) {
      ObjectNode node = listed.addObject();
      node.put("severity", name(finding.severity()));
      node.put("path", finding.path());
      finding.line().ifPresent(line -> node.put("line", line));
      node.put("found", finding.found());
      node.put("expected", finding.expected());
    }
    changes.ifPresent(known -> addChanges(root.putArray("changes"), known));
    return root;
  }

  private static void addChanges(ArrayNode array, List<CheckChange> changes) {
    for (CheckChange change : changes) {
      ObjectNode node = array.addObject();
      node.put("kind", change.kind().name().toLowerCase(Locale.ROOT));
      node.put("path", change.path());
      change.details().forEach(node.putArray("details")::add);
      change.effects().forEach(node.putArray("effects")::add);
    }
  }

  private static void addLines(List<String> lines, CheckChange change) {
    String sign =
        switch (change.kind()) {
          case ADDED -> "+ ";
          case REMOVED -> "- ";
          case REPLACED -> "~ ";
        };
    lines.add(sign + change.path());
    change.details().forEach(detail -> lines.add("    " + detail));
    change.effects().forEach(effect -> lines.add("    effect: " + effect));
  }

  private String summary(String file) {
    return file
        + ": errors: "
        + count(Severity.ERROR)
        + ", warnings: "
        + count(Severity.WARNING)
        + changes.map(known -> ", changes: " + known.size()).orElse("");
  }

  private long count(Severity severity) {
    return findings.stream().filter(finding -> finding.severity() == severity).count();
  }

  private static String name(Severity severity) {
    return severity.name().toLowerCase(Locale.ROOT);
  }

  /** Replaces what a terminal would interpret. */
  private static String withoutControlCharacters(String line) {
    return line.replaceAll("\\p{Cntrl}", "?");
  }
}
