package org.agatefield.measure;

import java.util.List;
import org.agatefield.model.Priority;

/**
 * A request that a caller sends for the first time. Immutable.
 *
 * @param nanoseconds when
 * @param caller the caller's number
 * @param region the caller's region
 * @param model the deployment or adapter
 * @param deployment the deployment
 * @param priority its priority
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens that the answer will have
 * @param maximumTokens tokens that the caller allows
 * @param prefixHashes hashes of the prompt's growing prefixes
 */
record Arrival(
    long nanoseconds,
    int caller,
    String region,
    String model,
    String deployment,
    Priority priority,
    int promptTokens,
    int outputTokens,
    int maximumTokens,
    List<Long> prefixHashes) {
  private static final long FIRST_TOKEN_TARGET_NANOSECONDS = 390_000_000L;
  private static final long TOKEN_TARGET_NANOSECONDS = 59_000_000L;

  /** Returns when the first token must be there. */
  long firstTokenTarget() {
    return nanoseconds + FIRST_TOKEN_TARGET_NANOSECONDS;
  }

  /** Returns when the whole answer must be there. */
  long wholeAnswerTarget() {
    return firstTokenTarget() + outputTokens * TOKEN_TARGET_NANOSECONDS;
  }

  /** Returns the deadline that the caller states, from the tokens that it allows. */
  long deadline() {
    return firstTokenTarget() + maximumTokens * TOKEN_TARGET_NANOSECONDS;
  }
}
