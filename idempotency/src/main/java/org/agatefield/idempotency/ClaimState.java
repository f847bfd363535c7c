package org.agatefield.idempotency;

import java.util.Optional;

/**
 * Where an arrival of a call stands. Immutable.
 *
 * @param <A> the answer
 * @param phase what it waits for
 * @param found the claim of another attempt that is being asked for or removed
 * @param error the failure of the send, while the service is asked for the outcome
 */
public record ClaimState<A>(Phase phase, Optional<Claim<A>> found, Optional<Throwable> error) {
  /** What an arrival waits for. */
  public enum Phase {
    /** The first or a later read of the claim. */
    READING,
    /** Admission and the choice of an upstream. */
    ACQUIRING,
    /** The answer to the create. */
    CREATING,
    /** A read after a create whose answer was lost. */
    READING_BACK,
    /** The check of the deadline between claim and send. */
    HOLDING,
    /** The upstream's answer. */
    SENDING,
    /** The choice of another upstream, after proof that nothing was sent to the first. */
    REACQUIRING,
    /** The service's word about the own attempt. */
    QUERYING_OWN_OUTCOME,
    /** The service's word about another attempt. */
    QUERYING_FOUND_OUTCOME,
    /** The store's taking the outcome. */
    RECORDING,
    /** The removal of an abandoned claim that was found. */
    REMOVING_ABANDONED,
    /** The next look at another attempt's claim. */
    WAITING,
    /** Nothing: the arrival is over. */
    DONE
  }

  /** Returns the state of a new arrival. */
  public static <A> ClaimState<A> initial() {
    return in(Phase.READING);
  }

  /** Returns a state without a found claim. */
  static <A> ClaimState<A> in(Phase phase) {
    return new ClaimState<>(phase, Optional.empty(), Optional.empty());
  }
}
