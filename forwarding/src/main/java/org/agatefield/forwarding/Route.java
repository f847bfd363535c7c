package org.agatefield.forwarding;

import java.util.List;

/**
 * Defines where the requests of a host and path prefix are forwarded, and on which terms.
 * Immutable.
 *
 * @param name the operator's name for the route
 * @param host the host, in lower case and without a port
 * @param pathPrefix starts and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeoutMilliseconds the maximum time that a caller waits
 * @param objectiveMilliseconds the target time to the answer or to the first event of a stream
 * @param gapObjectiveMilliseconds the maximum desired pause between events; 0 if there are no
 *     events
 * @param priority the priority among routes; 0 is the most urgent
 * @param maximumAttempts the maximum number of runners that may run one request
 * @param resumable whether a stream may be resumed on another runner
 * @param open whether requests need no key
 * @param services the services that requests are forwarded to, at least one
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

  /** Returns how requests of the route may be run again. */
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
   * @param draw uniformly distributed from 0 (inclusive) to 1 (exclusive)
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
