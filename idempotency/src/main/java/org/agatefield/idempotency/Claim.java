package org.agatefield.idempotency;

import java.util.Optional;

/**
 * A claim as it lies in the store: the right of one attempt to send one call once. Immutable.
 *
 * <p>Invariants: only the process that made {@code attemptId} ever sends for this claim, at most
 * once, and only that process deletes the claim, after proof that it has not sent and never will
 * (retention apart). An answer is never replaced.
 *
 * @param <A> the answer, opaque to the protocol
 * @param attemptId unique to the attempt that wrote the claim
 * @param holder the instance that wrote the claim
 * @param bodyHash tells apart calls that reuse the key for something else
 * @param claimedAtMilliseconds wall-clock time of the holder, only used to tell how old it is
 * @param timeoutMilliseconds how long the service may take
 * @param keepUntilMilliseconds wall-clock time before which the claim is not swept
 * @param outcome empty while the call may be running
 */
public record Claim<A>(
    String attemptId,
    String holder,
    String bodyHash,
    long claimedAtMilliseconds,
    long timeoutMilliseconds,
    long keepUntilMilliseconds,
    Optional<Outcome<A>> outcome) {

  /**
   * How the one execution ended. Immutable.
   *
   * @param <A> the answer
   * @param answer the whole answer; empty if it is lost and the call may or may not have run
   */
  public record Outcome<A>(Optional<A> answer) {}

  /** Returns this claim with an outcome. */
  public Claim<A> withOutcome(Outcome<A> known) {
    return new Claim<>(
        attemptId,
        holder,
        bodyHash,
        claimedAtMilliseconds,
        timeoutMilliseconds,
        keepUntilMilliseconds,
        Optional.of(known));
  }
}
