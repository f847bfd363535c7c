package org.agatefield.fleet.soak;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Generates a random schedule of failures; the same seed gives the same schedule. Stateless. */
final class FailureSchedule {
  private static final int FIRST_FAILURE_SECOND = 5;
  private static final int MIN_GAP_SECONDS = 3;
  private static final int MAX_GAP_SECONDS = 12;
  private static final int MIN_DURATION_SECONDS = 2;
  private static final int MAX_DURATION_SECONDS = 12;
  private static final int TARGET_BOUND = 1_000;
  private static final double CONCURRENT_FAILURE_PROBABILITY = 0.3;

  private FailureSchedule() {}

  /** Returns failures that all end by {@code lastSecond}, ordered by start time. */
  static List<PlannedFailure> plan(UniformRandomProvider random, int lastSecond) {
    List<PlannedFailure> planned = new ArrayList<>();
    int second = FIRST_FAILURE_SECOND;
    while (second + MAX_DURATION_SECONDS <= lastSecond) {
      planned.add(drawFailure(random, second));
      if (random.nextDouble() < CONCURRENT_FAILURE_PROBABILITY) {
        planned.add(drawFailure(random, second));
      }
      second += random.nextInt(MIN_GAP_SECONDS, MAX_GAP_SECONDS + 1);
    }
    return planned;
  }

  private static PlannedFailure drawFailure(UniformRandomProvider random, int second) {
    FailureKind[] kinds = FailureKind.values();
    return new PlannedFailure(
        second,
        random.nextInt(MIN_DURATION_SECONDS, MAX_DURATION_SECONDS + 1),
        kinds[random.nextInt(kinds.length)],
        random.nextInt(TARGET_BOUND));
  }
}
