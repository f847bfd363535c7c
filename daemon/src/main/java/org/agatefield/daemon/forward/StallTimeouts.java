package org.agatefield.daemon.forward;

import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;

/**
 * Computes how long a runner may send nothing before a repeatable request is sent to another
 * runner.
 *
 * <p>A slow runner may just be busy; retrying its requests elsewhere would have their prompts
 * processed twice and add to the overload. A runner that still sends data for other requests is
 * therefore treated as busy, one that sends nothing as lost. Stateless.
 */
final class StallTimeouts {
  private static final long LOST_RUNNER_MILLISECONDS = 700; // About ten of the longest steps.
  // Leaves more than half of the time for the second attempt.
  private static final double SHARE_OF_REMAINING = 0.35;
  private static final double BUSY_SHARE_OF_REMAINING = 0.65;
  private static final double OBJECTIVE_MULTIPLE = 1.2;
  private static final double GAP_OBJECTIVE_MULTIPLE = 5; // Callers abandon a stream after eight.
  private static final double BUSY_GAP_OBJECTIVE_MULTIPLE = 12;

  private StallTimeouts() {}

  /**
   * Returns the stall timeout.
   *
   * @param began whether the response has started
   * @param remainingMilliseconds the time to the deadline at the last activity of the request
   * @param runnerSilentMilliseconds how long the runner has sent nothing for any request
   */
  static long milliseconds(
      Route route, boolean began, long remainingMilliseconds, long runnerSilentMilliseconds) {
    boolean busy = runnerSilentMilliseconds < LOST_RUNNER_MILLISECONDS;
    if (began && route.kind() == RouteKind.STREAM) {
      double gaps = busy ? BUSY_GAP_OBJECTIVE_MULTIPLE : GAP_OBJECTIVE_MULTIPLE;
      return (long) (gaps * route.gapObjectiveMilliseconds());
    }
    double share = busy ? BUSY_SHARE_OF_REMAINING : SHARE_OF_REMAINING;
    double objective = OBJECTIVE_MULTIPLE * route.objectiveMilliseconds();
    return (long) Math.max(objective, share * remainingMilliseconds);
  }
}
