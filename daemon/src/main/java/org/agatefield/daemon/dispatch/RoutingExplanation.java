package org.agatefield.daemon.dispatch;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Why a request went where it went. Immutable.
 *
 * @param requestId the request
 * @param time when it was decided
 * @param attempt the number of the attempt; 0 if the request was refused
 * @param target the version or service asked for
 * @param chosen the upstream; empty if the request was refused
 * @param candidates the upstreams to choose from, with what was known of each
 * @param reason why, as {@code key=value} pairs
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
