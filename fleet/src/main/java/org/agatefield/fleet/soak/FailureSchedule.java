package org.agatefield.fleet.soak;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Plans failures from a seed: the same seed gives the same schedule. Stateless. */
final class FailureSchedule {
  private static final int FIRST_SECOND = 5;
  private static final int SHORTEST_GAP_SECONDS = 3;
  private static final int LONGEST_GAP_SECONDS = 12;
  private static final int SHORTEST_SECONDS = 2;
  private static final int LONGEST_SECONDS = 12;
  private static final int TARGETS = 1_000;
  private static final double SECOND_FAILURE_SHARE = 0.3;

  private FailureSchedule() {}

  /** Returns failures that have all ended by {@code lastSecond}, in the order of their begin. */
  static List<PlannedFailure> plan(UniformRandomProvider random, int lastSecond) {
    List<PlannedFailure> planned = new ArrayList<>();
    int second = FIRST_SECOND;
    while (second + LONGEST_SECONDS <= lastSecond) {
      planned.add(draw(random, second));
      if (random.nextDouble() < SECOND_FAILURE_SHARE) {
        planned.add(draw(random, second));
      }
      second += random.nextInt(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS + 1);
    }
    return planned;
  }

  private static PlannedFailure draw(UniformRandomProvider random, int second) {
    FailureKind[] kinds = FailureKind.values();
    return new PlannedFailure(
        second,
        random.nextInt(SHORTEST_SECONDS, LONGEST_SECONDS + 1),
        kinds[random.nextInt(kinds.length)],
        random.nextInt(TARGETS));
  }
}
