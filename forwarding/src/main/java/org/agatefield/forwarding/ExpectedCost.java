package org.agatefield.forwarding;

import org.agatefield.forwarding.RunnerCandidate.Distance;

/** What it is expected to cost to send a request to a runner, all in milliseconds. Stateless. */
final class ExpectedCost {
  // Crossing domains pays off if it saves about a tenth of the usual one-second objective.
  private static final double DOMAIN_CROSSING_MILLISECONDS = 60;
  private static final double REGION_CROSSING_MILLISECONDS = 250;
  static final double ADAPTER_LOAD_MILLISECONDS = 25;

  private ExpectedCost() {}

  /** Returns the time to the first event, the way and the delay to requests that are there. */
  static double milliseconds(RunnerCandidate candidate) {
    return crossingMilliseconds(candidate.distance()) + millisecondsThere(candidate);
  }

  /** Returns the same without the way. */
  static double millisecondsThere(RunnerCandidate candidate) {
    double adapter = candidate.adapterPresent() ? 0 : ADAPTER_LOAD_MILLISECONDS;
    return adapter
        + candidate.firstEventMilliseconds()
        + candidate.outlook().delayToOthersMilliseconds();
  }

  /** Returns what the way to a runner costs. */
  static double crossingMilliseconds(Distance distance) {
    return switch (distance) {
      case SAME_DOMAIN -> 0;
      case SAME_REGION -> DOMAIN_CROSSING_MILLISECONDS;
      case OTHER_REGION -> REGION_CROSSING_MILLISECONDS;
    };
  }
}
