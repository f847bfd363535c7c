package org.agatefield.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Summarizes the measurements of one variant over several seeds. Confined to one thread. */
final class Summary {
  private static final String FORMAT =
      "%-14s %-10s %-18s %-17s %-7s %-17s %-7s %-9s %-5s %-6s %s%n";

  private final Scenario scenario;
  private final Variant variant;
  private final int accelerators;
  private final List<Measurement> measurements = new ArrayList<>();

  Summary(Scenario scenario, Variant variant, int accelerators) {
    this.scenario = scenario;
    this.variant = variant;
    this.accelerators = accelerators;
  }

  void add(Measurement measurement) {
    measurements.add(measurement);
  }

  static String heading() {
    return String.format(
        Locale.ROOT,
        FORMAT,
        "scenario",
        "decision",
        "policy",
        "attained%",
        "per-acc",
        "worst-model%",
        "moves",
        "refused",
        "false",
        "waste%",
        "link-MB");
  }

  double attainment() {
    return mean(each -> 100 * each.attainment());
  }

  String row(String decision) {
    return String.format(
        Locale.ROOT,
        FORMAT,
        scenario.label(),
        decision,
        variant.name(),
        spread(each -> 100 * each.attainment()),
        String.format(
            Locale.ROOT,
            "%.2f",
            mean(each -> (double) each.attained / scenario.seconds() / accelerators)),
        spread(each -> 100 * each.worstModel()),
        String.format(Locale.ROOT, "%.1f", mean(each -> each.moves)),
        String.format(Locale.ROOT, "%.0f", mean(each -> each.refusedAttempts)),
        String.format(Locale.ROOT, "%.0f", mean(each -> each.falseRefusals)),
        String.format(Locale.ROOT, "%.1f", mean(each -> 100 * each.wastedShare())),
        String.format(Locale.ROOT, "%.2f", mean(each -> each.linkBytes / 1e6)));
  }

  private double mean(ToDoubleFunction<Measurement> value) {
    return measurements.stream().mapToDouble(value).average().orElse(0);
  }

  private String spread(ToDoubleFunction<Measurement> value) {
    double least = measurements.stream().mapToDouble(value).min().orElse(0);
    double most = measurements.stream().mapToDouble(value).max().orElse(0);
    return String.format(Locale.ROOT, "%.1f [%.1f %.1f]", mean(value), least, most);
  }
}
