package org.agatefield.command;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * The results of a load run. Immutable provided that the histograms are not modified.
 *
 * @param whole number of complete answers, which have their end marker
 * @param refused number of answers with status 429 or 503
 * @param failed number of all other answers and of requests without an answer
 * @param firstPartMicroseconds latencies from the planned start to the first part of the body
 * @param wholeMicroseconds latencies from the planned start to the end of the answer
 */
record LoadReportTable(
    long whole,
    long refused,
    long failed,
    Histogram firstPartMicroseconds,
    Histogram wholeMicroseconds) {
  private static final double[] PERCENTILES = {50, 95, 99};
  private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

  String format() {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(Locale.ROOT, "whole %d, refused %d, failed %d%n", whole, refused, failed));
    append(text, "first part", firstPartMicroseconds);
    append(text, "whole answer", wholeMicroseconds);
    return text.toString().stripTrailing();
  }

  private static void append(StringBuilder text, String name, Histogram histogram) {
    text.append(String.format(Locale.ROOT, "%-13s", name));
    for (double percentile : PERCENTILES) {
      double milliseconds =
          histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
      text.append(String.format(Locale.ROOT, " p%.0f %8.3f ms", percentile, milliseconds));
    }
    text.append(System.lineSeparator());
  }
}
