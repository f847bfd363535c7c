package org.agatefield.daemon.core;

import java.time.Duration;
import java.util.List;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.Priority;

/**
 * Describes a request to a model for admission and routing. Immutable.
 *
 * @param requestId unique identifier, for logs and {@code agatefieldctl explain}
 * @param fingerprint equal for equal requests of the caller at all instances
 * @param caller the caller's name
 * @param model the requested deployment or adapter
 * @param priority the priority, already limited to the maximum of the caller and the deployment
 * @param remaining time until the deadline
 * @param bodyBytes size of the request body
 * @param promptTokens estimated number of prompt tokens
 * @param maximumTokens maximum number of tokens to generate
 * @param prefixHashes hashes of the prompt's prefixes, shortest first, each 256 bytes longer than
 *     the one before
 */
public record ModelRequest(
    String requestId,
    RequestFingerprint fingerprint,
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
