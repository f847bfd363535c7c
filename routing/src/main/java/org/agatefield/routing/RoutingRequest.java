package org.agatefield.routing;

import java.util.List;
import java.util.Optional;

/**
 * What routing needs to know of a request. Immutable.
 *
 * @param region the region of the instance that routes it
 * @param adapter the adapter that it needs; empty if none
 * @param promptTokens estimated number of prompt tokens
 * @param linkBytes bytes that would cross the link between regions, both ways
 * @param prefixHashes hashes of the prompt's growing prefixes, shortest first
 */
public record RoutingRequest(
    String region,
    Optional<String> adapter,
    int promptTokens,
    long linkBytes,
    List<Long> prefixHashes) {
  /** Copies the list. */
  public RoutingRequest {
    prefixHashes = List.copyOf(prefixHashes);
  }
}
