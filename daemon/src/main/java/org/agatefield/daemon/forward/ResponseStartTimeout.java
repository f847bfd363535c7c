package org.agatefield.daemon.forward;

import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;

/**
 * Computes how long callers wait for a response to start, or for the next event of a stream, before
 * they disconnect. Stateless.
 */
final class ResponseStartTimeout {
  // Per the specification, the longest of two seconds, four objectives and eight gap objectives.
  private static final long MINIMUM_MILLISECONDS = 2_000;
  private static final long OBJECTIVE_MULTIPLE = 4;
  private static final long GAP_OBJECTIVE_MULTIPLE = 8;

  private ResponseStartTimeout() {}

  static long milliseconds(Route route) {
    if (route.kind() != RouteKind.STREAM) {
      return route.timeoutMilliseconds();
    }
    long objectives = OBJECTIVE_MULTIPLE * route.objectiveMilliseconds();
    long gaps = GAP_OBJECTIVE_MULTIPLE * route.gapObjectiveMilliseconds();
    return Math.max(MINIMUM_MILLISECONDS, Math.max(objectives, gaps));
  }
}
