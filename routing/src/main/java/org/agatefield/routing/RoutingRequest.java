package org.agatefield.routing;

import java.util.List;
import java.util.Optional;

/**
 * The properties of a request that routing depends on. Immutable.
 *
 * @param region the region of the instance that routes the request
 * @param adapter the adapter that the request needs; empty if none
 * @param promptTokens estimated number of prompt tokens
 * @param linkBytes bytes that would be sent over the link between regions, in both directions
 * @param prefixHashes hashes of increasingly long prefixes of the prompt, shortest first
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
