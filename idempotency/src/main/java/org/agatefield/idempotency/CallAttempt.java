package org.agatefield.idempotency;

/**
 * One arrival of a call. Immutable.
 *
 * @param attemptId unique to this arrival
 * @param bodyHash the hash of the body
 * @param deadlineNanoseconds monotonic time after which nothing is sent any more
 * @param joinUntilNanoseconds monotonic time until which another attempt's outcome is waited for
 * @param outcomeQueryable whether the service tells the outcome of a key
 */
public record CallAttempt(
    String attemptId,
    String bodyHash,
    long deadlineNanoseconds,
    long joinUntilNanoseconds,
    boolean outcomeQueryable) {}
