package org.agatefield.model;

import java.util.Map;

/**
 * Demand for one model since the previous report. Immutable.
 *
 * @param service the service that serves the model
 * @param model the model's name
 * @param arrivedTokens prompt tokens of the requests that arrived
 * @param arrivedRequests requests that arrived
 * @param waitingRequests requests that are waiting for a runner
 * @param runningRequests requests that are running at runners
 * @param priority the most urgent priority of the requests that wait or arrived; 0 is the most
 *     urgent
 * @param runningAt the running requests by runner identifier
 * @param arrivedOutputTokens tokens that the requests that arrived may let a runner generate; 0
 *     from instances that do not say
 */
public record ModelDemand(
    String service,
    String model,
    long arrivedTokens,
    int arrivedRequests,
    int waitingRequests,
    int runningRequests,
    int priority,
    Map<String, Integer> runningAt,
    long arrivedOutputTokens) {
  /** Copies the map. */
  public ModelDemand {
    runningAt = Map.copyOf(runningAt);
  }
}
