package org.agatefield.idempotency;

import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;

/**
 * What an arrival of a call is to do next.
 *
 * @param <A> the answer
 */
public sealed interface ClaimAction<A> {
  /** Read the claim. */
  record Read<A>() implements ClaimAction<A> {}

  /** Wait for admission and choose an upstream. */
  record Acquire<A>() implements ClaimAction<A> {}

  /** Choose another upstream after one to which nothing was sent, if the budget allows it. */
  record Reacquire<A>() implements ClaimAction<A> {}

  /** Give the chosen upstream back unused. */
  record ReleaseUpstream<A>() implements ClaimAction<A> {}

  /** Create the claim if there is none. */
  record Create<A>() implements ClaimAction<A> {}

  /** Go on with {@link ClaimEvent.DeadlineCheckDue} and the time of that moment. */
  record CheckDeadline<A>() implements ClaimAction<A> {}

  /** Send the call; given at most once for an attempt, but for proof that nothing was sent. */
  record Send<A>() implements ClaimAction<A> {}

  /** Write the outcome into the claim, until the store takes it. */
  record Record<A>(Claim.Outcome<A> outcome) implements ClaimAction<A> {}

  /** Record an answer learnt for another process's claim, if the store takes it. */
  record RecordForOther<A>(Claim<A> claim, A answer) implements ClaimAction<A> {}

  /** Remove the own claim, now or whenever it comes to be in the store; it is never sent for. */
  record Remove<A>() implements ClaimAction<A> {}

  /** Remove an abandoned claim of this process that was found, and report how that went. */
  record RemoveFound<A>(Claim<A> claim) implements ClaimAction<A> {}

  /** Look at the claim again after a while. */
  record PollLater<A>() implements ClaimAction<A> {}

  /** Ask the service for the outcome of the key. */
  record QueryService<A>() implements ClaimAction<A> {}

  /** Give the caller the whole answer. */
  record Reply<A>(A answer) implements ClaimAction<A> {}

  /** Refuse with a kind; {@code runState} speaks of every arrival with the key up to now. */
  record Refuse<A>(ErrorKind kind, RunState runState, String reason) implements ClaimAction<A> {}

  /** Refuse with the error that was met. */
  record RefuseWithError<A>(Throwable error) implements ClaimAction<A> {}
}
