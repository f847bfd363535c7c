package org.agatefield.idempotency;

import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;

/**
 * An action that an attempt must take next.
 *
 * @param <A> the answer
 */
public sealed interface ClaimAction<A> {
  /** Read the claim. */
  record Read<A>() implements ClaimAction<A> {}

  /** Wait for admission and choose an upstream. */
  record Acquire<A>() implements ClaimAction<A> {}

  /** Choose another upstream, if the retry budget allows it, as nothing was sent to the first. */
  record Reacquire<A>() implements ClaimAction<A> {}

  /** Release the chosen upstream unused. */
  record ReleaseUpstream<A>() implements ClaimAction<A> {}

  /** Create the claim if there is none. */
  record Create<A>() implements ClaimAction<A> {}

  /** Pass {@link ClaimEvent.DeadlineCheckDue} with the current time. */
  record CheckDeadline<A>() implements ClaimAction<A> {}

  /** Send the call; repeated for the same attempt only on proof that nothing was sent. */
  record Send<A>() implements ClaimAction<A> {}

  /** Store the outcome in the claim, with retries until that succeeds. */
  record Record<A>(Claim.Outcome<A> outcome) implements ClaimAction<A> {}

  /** Store an answer in the claim of another process, without retries. */
  record RecordForOther<A>(Claim<A> claim, A answer) implements ClaimAction<A> {}

  /** Remove the own claim, now or once its creation takes effect; the call is never sent for it. */
  record Remove<A>() implements ClaimAction<A> {}

  /** Remove an abandoned claim of this process that was found, and report the result. */
  record RemoveFound<A>(Claim<A> claim) implements ClaimAction<A> {}

  /** Read the claim again after the poll interval. */
  record PollLater<A>() implements ClaimAction<A> {}

  /** Query the service for the outcome of the key. */
  record QueryService<A>() implements ClaimAction<A> {}

  /** Send the complete answer to the caller. */
  record Reply<A>(A answer) implements ClaimAction<A> {}

  /** Refuse with an error kind; {@code runState} covers all attempts with the key so far. */
  record Refuse<A>(ErrorKind kind, RunState runState, String reason) implements ClaimAction<A> {}

  /** Refuse with the error that occurred. */
  record RefuseWithError<A>(Throwable error) implements ClaimAction<A> {}
}
