package org.agatefield.idempotency;

import java.util.Optional;

/**
 * A claim as stored: the right of one attempt to send one call once. Immutable.
 *
 * <p>Invariants: only the process that created {@code attemptId} sends the call under this claim,
 * and at most once. Before the retention ends only that process deletes the claim, after proof that
 * it has not sent the call and never will. An answer is never replaced.
 *
 * @param <A> the answer, opaque to the protocol
 * @param attemptId unique to the attempt that wrote the claim
 * @param holder the instance that wrote the claim
 * @param bodyHash hash of the request body; differs if the key is reused for another call
 * @param claimedAtMilliseconds wall-clock time of the holder, only used for the claim's age
 * @param timeoutMilliseconds time within which the service must answer
 * @param keepUntilMilliseconds wall-clock time before which the claim is not deleted
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
   * The outcome of the execution. Immutable.
   *
   * @param <A> the answer
   * @param answer the complete answer; empty if it is lost and the call may or may not have run
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
