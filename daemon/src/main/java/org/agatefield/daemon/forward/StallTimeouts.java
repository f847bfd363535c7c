package org.agatefield.daemon.forward;

import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;

/**
 * How long a runner may be silent before a request that may repeat goes elsewhere.
 *
 * <p>Answers the load pattern of runners that are slow because they are busy: sending their
 * requests again would have their prompts read twice and make it worse. A runner that still sends
 * to other requests is taken to be busy, one that sends nothing to be lost. Stateless.
 */
final class StallTimeouts {
  private static final long LOST_RUNNER_MILLISECONDS = 700; // some ten of the longest steps
  // Leaves more than half of the time for the second attempt.
  private static final double SHARE_OF_REMAINING = 0.35;
  private static final double BUSY_SHARE_OF_REMAINING = 0.65;
  private static final double OBJECTIVES = 1.2;
  private static final double GAP_OBJECTIVES = 5; // callers leave a stream after eight
  private static final double BUSY_GAP_OBJECTIVES = 12;

  private StallTimeouts() {}

  /**
   * Returns the limit.
   *
   * @param began whether the answer has begun
   * @param remainingMilliseconds the time left when the request was last answered
   * @param runnerSilentMilliseconds how long the runner has sent nothing to any request
   */
  static long milliseconds(
      Route route, boolean began, long remainingMilliseconds, long runnerSilentMilliseconds) {
    boolean busy = runnerSilentMilliseconds < LOST_RUNNER_MILLISECONDS;
    if (began && route.kind() == RouteKind.STREAM) {
      double gaps = busy ? BUSY_GAP_OBJECTIVES : GAP_OBJECTIVES;
      return (long) (gaps * route.gapObjectiveMilliseconds());
    }
    double share = busy ? BUSY_SHARE_OF_REMAINING : SHARE_OF_REMAINING;
    double objective = OBJECTIVES * route.objectiveMilliseconds();
    return (long) Math.max(objective, share * remainingMilliseconds);
  }
}
