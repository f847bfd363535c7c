package org.agatefield.daemon.core;

import java.time.Duration;
import java.util.List;
import org.agatefield.model.Priority;

/**
 * What admission and routing need to know of a request to a model. Immutable.
 *
 * @param requestId unique, for logs and {@code agatefieldctl explain}
 * @param caller the caller's name
 * @param model the deployment or adapter asked for
 * @param priority already limited by what the caller and the deployment allow
 * @param remaining time until the deadline, from now
 * @param bodyBytes size of the request body
 * @param promptTokens estimated number of prompt tokens
 * @param maximumTokens the most tokens that may be generated
 * @param prefixHashes hashes of the prompt's growing prefixes, shortest first, one each 256 bytes
 */
public record ModelRequest(
    String requestId,
    String caller,
    String model,
    Priority priority,
    Duration remaining,
    long bodyBytes,
    int promptTokens,
    int maximumTokens,
    List<Long> prefixHashes) {
  /** Copies the list. */
  public ModelRequest {
    prefixHashes = List.copyOf(prefixHashes);
  }
}
