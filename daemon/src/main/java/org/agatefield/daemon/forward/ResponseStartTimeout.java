package org.agatefield.daemon.forward;

import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;

/** How long callers wait for an answer to begin before they leave. Stateless. */
final class ResponseStartTimeout {
  // The users' pages: the longest of two seconds, four objectives and eight gap objectives.
  private static final long SHORTEST_MILLISECONDS = 2_000;
  private static final long OBJECTIVES = 4;
  private static final long GAP_OBJECTIVES = 8;

  private ResponseStartTimeout() {}

  static long milliseconds(Route route) {
    if (route.kind() != RouteKind.STREAM) {
      return route.timeoutMilliseconds();
    }
    long objectives = OBJECTIVES * route.objectiveMilliseconds();
    long gaps = GAP_OBJECTIVES * route.gapObjectiveMilliseconds();
    return Math.max(SHORTEST_MILLISECONDS, Math.max(objectives, gaps));
  }
}
