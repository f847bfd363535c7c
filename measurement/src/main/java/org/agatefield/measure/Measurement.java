package org.agatefield.measure;

import java.util.Map;
import java.util.TreeMap;

/** Counters of a run. Confined to the driver's thread. */
final class Measurement {
  int requests;
  int attained;
  int moves;
  long refusedAttempts;
  long falseRefusals;
  double usefulNanoseconds;
  double linkBytes;
  private double busyNanoseconds;
  private boolean counting;
  private final Map<String, int[]> byModel = new TreeMap<>();

  /** Resets the counters at the end of the warm-up. */
  void begin(double busyNanosecondsSoFar) {
    counting = true;
    moves = 0;
    refusedAttempts = 0;
    falseRefusals = 0;
    usefulNanoseconds = 0;
    linkBytes = 0;
    busyNanoseconds = busyNanosecondsSoFar;
  }

  void end(double busyNanosecondsInAll) {
    busyNanoseconds = busyNanosecondsInAll - busyNanoseconds;
  }

  void ended(Arrival arrival, boolean inTime) {
    if (!counting) {
      return;
    }
    requests++;
    attained += inTime ? 1 : 0;
    int[] counts = byModel.computeIfAbsent(arrival.deployment(), ignored -> new int[2]);
    counts[0]++;
    counts[1] += inTime ? 1 : 0;
  }

  double attainment() {
    return (double) attained / requests;
  }

  /** Returns the lowest attainment of any model. */
  double worstModel() {
    return byModel.values().stream()
        .mapToDouble(counts -> (double) counts[1] / counts[0])
        .min()
        .orElse(0);
  }

  double wastedShare() {
    return busyNanoseconds == 0 ? 0 : 1 - usefulNanoseconds / busyNanoseconds;
  }
}
