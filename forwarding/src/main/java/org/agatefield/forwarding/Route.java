package org.agatefield.forwarding;

import java.util.List;

/**
 * Where requests of a host and path prefix go, and under which terms. Immutable.
 *
 * @param name the operator's name
 * @param host the host, in lower case and without a port
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMilliseconds the longest time that a caller is kept waiting
 * @param objectiveMilliseconds the time within which an answer, or a stream's first event, is
 *     wanted
 * @param gapObjectiveMilliseconds the longest wanted pause between events; 0 if there are none
 * @param priority the rank among routes, 0 is the most urgent
 * @param maximumAttempts how many runners may get one request
 * @param resumable whether a stream may be continued on another runner
 * @param open whether requests need no key
 * @param services where requests go, at least one
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMilliseconds,
    long objectiveMilliseconds,
    long gapObjectiveMilliseconds,
    int priority,
    int maximumAttempts,
    boolean resumable,
    boolean open,
    List<WeightedService> services) {
  /** Copies the list. */
  public Route {
    services = List.copyOf(services);
  }

  /** Returns how its requests may be repeated. */
  public RetryMode retryMode() {
    return switch (kind) {
      case IDEMPOTENT -> RetryMode.RESTART;
      case NON_IDEMPOTENT -> RetryMode.NEVER;
      case STREAM -> resumable ? RetryMode.RESUME : RetryMode.NEVER;
    };
  }

  /**
   * Returns the service for one request.
   *
   * @param draw evenly distributed from 0 to below 1
   */
  public String serviceFor(double draw) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double left = draw * total;
    for (WeightedService each : services) {
      left -= each.weight();
      if (left < 0) {
        return each.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
