package org.agatefield.idempotency;

import org.agatefield.model.RunState;

/**
 * What happened to an arrival of a call.
 *
 * @param <A> the answer
 */
public sealed interface ClaimEvent<A> {
  /** The store showed that there is no claim. */
  record Absent<A>() implements ClaimEvent<A> {}

  /**
   * The store showed a claim.
   *
   * @param holderState what is known about the instance that wrote it
   */
  record Found<A>(Claim<A> claim, HolderState holderState) implements ClaimEvent<A> {}

  /** The claim could not be read. */
  record ReadFailed<A>() implements ClaimEvent<A> {}

  /** An upstream was chosen. */
  record Acquired<A>() implements ClaimEvent<A> {}

  /** No upstream was to be had; nothing was sent. */
  record AcquireFailed<A>(Throwable error) implements ClaimEvent<A> {}

  /** The claim was created. */
  record Created<A>() implements ClaimEvent<A> {}

  /** A claim exists already; the create had no effect. */
  record CreateRejected<A>() implements ClaimEvent<A> {}

  /** The store refused the create, which had no effect and never will. */
  record CreateRefused<A>() implements ClaimEvent<A> {}

  /** No answer to the create: it may have taken effect, or may yet. */
  record CreateUnknown<A>() implements ClaimEvent<A> {}

  /** Time was taken between the claim and the send; the deadline is to be checked now. */
  record DeadlineCheckDue<A>() implements ClaimEvent<A> {}

  /** The whole answer came. */
  record Answered<A>(A answer) implements ClaimEvent<A> {}

  /** The send failed; {@code runState} is NO only on proof that not one byte was sent. */
  record SendFailed<A>(RunState runState, Throwable error) implements ClaimEvent<A> {}

  /** The service, asked for the outcome of the key, gave the whole answer. */
  record OutcomeReceived<A>(A answer) implements ClaimEvent<A> {}

  /** The service could not be asked or did not know. */
  record OutcomeUnavailable<A>() implements ClaimEvent<A> {}

  /** The outcome is in the store. */
  record Recorded<A>() implements ClaimEvent<A> {}

  /** The claim is known to be removed. */
  record Removed<A>() implements ClaimEvent<A> {}

  /** The claim could not be removed now; removal goes on in the background. */
  record RemoveFailed<A>() implements ClaimEvent<A> {}

  /** It is time to look at the claim again. */
  record PollDue<A>() implements ClaimEvent<A> {}

  /** What is known about the holder of a claim without an outcome. */
  enum HolderState {
    /** It may still be executing the call. */
    RUNNING,
    /** It is dead, or the service's timeout has long passed. */
    GONE,
    /** It is this process, and it is certain that it has not sent and never will. */
    ABANDONED
  }
}
