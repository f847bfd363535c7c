package org.agatefield.measure;

import java.util.List;
import org.agatefield.model.Priority;

/**
 * The first submission of a request by a caller. Immutable.
 *
 * @param nanoseconds arrival time
 * @param caller the caller's number
 * @param region the caller's region
 * @param model the requested deployment or adapter
 * @param deployment the deployment
 * @param priority the priority of the request
 * @param promptTokens number of tokens in the prompt
 * @param outputTokens number of tokens in the answer
 * @param maximumTokens token limit set by the caller
 * @param prefixHashes hashes of the prompt's prefixes, shortest first
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

  /** Returns the target time of the first token. */
  long firstTokenTarget() {
    return nanoseconds + FIRST_TOKEN_TARGET_NANOSECONDS;
  }

  /** Returns the target time of the complete answer. */
  long wholeAnswerTarget() {
    return firstTokenTarget() + outputTokens * TOKEN_TARGET_NANOSECONDS;
  }

  /** Returns the caller's deadline, derived from its token limit. */
  long deadline() {
    return firstTokenTarget() + maximumTokens * TOKEN_TARGET_NANOSECONDS;
  }
}
