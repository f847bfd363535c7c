package org.agatefield.daemon.dispatch;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Explains a routing decision. Immutable.
 *
 * @param requestId the request's identifier
 * @param time when the decision was made
 * @param attempt the number of the attempt; 0 if the request was refused
 * @param target the requested version or service
 * @param chosen the upstream; empty if the request was refused
 * @param candidates the upstreams considered, with their known load
 * @param reason the reason, as {@code key=value} pairs
 */
public record RoutingExplanation(
    String requestId,
    Instant time,
    long attempt,
    String target,
    Optional<String> chosen,
    List<String> candidates,
    String reason) {
  /** Copies the list. */
  public RoutingExplanation {
    candidates = List.copyOf(candidates);
  }
}
