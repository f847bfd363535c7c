package org.agatefield.idempotency;

/**
 * One attempt of a caller to have a call executed; every retry is a new attempt. Immutable.
 *
 * @param attemptId unique to this attempt
 * @param bodyHash the hash of the body
 * @param deadlineNanoseconds monotonic time after which the call is no longer sent
 * @param joinUntilNanoseconds monotonic time until which to wait for another attempt's outcome
 * @param outcomeQueryable whether the service can be queried for the outcome of a key
 */
public record CallAttempt(
    String attemptId,
    String bodyHash,
    long deadlineNanoseconds,
    long joinUntilNanoseconds,
    boolean outcomeQueryable) {}
