package org.agatefield.idempotency;

import org.agatefield.model.RunState;

/**
 * An event of an attempt, mostly the result of a {@link ClaimAction}.
 *
 * <p>An event is conclusive if no attempt with the key can have had a claim that the store has
 * forgotten: the key was not used before the era of the store in which the event happened.
 *
 * @param <A> the answer
 */
public sealed interface ClaimEvent<A> {
  /** The read found no claim. */
  record Absent<A>(boolean conclusive) implements ClaimEvent<A> {}

  /**
   * The read found a claim.
   *
   * @param holderState what is known about the instance that wrote it
   */
  record Found<A>(Claim<A> claim, HolderState holderState, boolean conclusive)
      implements ClaimEvent<A> {}

  /** The claim could not be read. */
  record ReadFailed<A>() implements ClaimEvent<A> {}

  /** An upstream was chosen. */
  record Acquired<A>() implements ClaimEvent<A> {}

  /** No upstream was available; nothing was sent. */
  record AcquireFailed<A>(Throwable error) implements ClaimEvent<A> {}

  /** The claim was created. */
  record Created<A>(boolean conclusive) implements ClaimEvent<A> {}

  /** A claim already exists; the create had no effect. */
  record CreateRejected<A>() implements ClaimEvent<A> {}

  /** The store refused the create, which had no effect and never will. */
  record CreateRefused<A>() implements ClaimEvent<A> {}

  /** The create was not confirmed; it may have taken effect or still do so. */
  record CreateUnknown<A>() implements ClaimEvent<A> {}

  /** The deadline must be checked now, between the claim and the send. */
  record DeadlineCheckDue<A>() implements ClaimEvent<A> {}

  /** The complete answer was received. */
  record Answered<A>(A answer) implements ClaimEvent<A> {}

  /** The send failed; {@code runState} is NO only on proof that no byte was sent. */
  record SendFailed<A>(RunState runState, Throwable error) implements ClaimEvent<A> {}

  /** The service returned the complete answer when queried for the outcome of the key. */
  record OutcomeReceived<A>(A answer) implements ClaimEvent<A> {}

  /** The service could not be queried or has no outcome for the key. */
  record OutcomeUnavailable<A>() implements ClaimEvent<A> {}

  /** The outcome is stored. */
  record Recorded<A>() implements ClaimEvent<A> {}

  /** The removal of the claim is confirmed. */
  record Removed<A>() implements ClaimEvent<A> {}

  /** The claim could not be removed now; removal continues in the background. */
  record RemoveFailed<A>() implements ClaimEvent<A> {}

  /** The poll interval has passed. */
  record PollDue<A>() implements ClaimEvent<A> {}

  /** What is known about the holder of a claim without an outcome. */
  enum HolderState {
    /** It may still be executing the call. */
    RUNNING,
    /** It is dead, or the timeout of the service passed long ago. */
    GONE,
    /** It is this process, which certainly has not sent the call and never will. */
    ABANDONED
  }
}
