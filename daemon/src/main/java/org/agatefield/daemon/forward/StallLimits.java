package org.agatefield.daemon.forward;

import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;

/** How long a runner may be silent before a request that may repeat goes elsewhere. Stateless. */
final class StallLimits {
  // Leaves more than half of the time for the second attempt.
  private static final double SHARE_OF_REMAINING = 0.4;
  private static final double OBJECTIVES = 1.5;
  private static final double GAP_OBJECTIVES = 6; // callers leave a stream after eight
  private static final long SHORTEST_GAP_MILLISECONDS = 1_000;

  private StallLimits() {}

  /**
   * Returns the limit.
   *
   * @param began whether the answer has begun
   * @param remainingMilliseconds the time left when the runner was last heard
   */
  static long milliseconds(Route route, boolean began, long remainingMilliseconds) {
    if (began && route.kind() == RouteKind.STREAM) {
      double gap = GAP_OBJECTIVES * route.gapObjectiveMilliseconds();
      return (long) Math.max(SHORTEST_GAP_MILLISECONDS, gap);
    }
    double objective = OBJECTIVES * route.objectiveMilliseconds();
    return (long) Math.max(objective, SHARE_OF_REMAINING * remainingMilliseconds);
  }
}
