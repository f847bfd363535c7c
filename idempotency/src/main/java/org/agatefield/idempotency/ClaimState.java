package org.agatefield.idempotency;

import java.util.Optional;

/**
 * The state of an attempt. Immutable.
 *
 * @param <A> the answer
 * @param phase what the attempt waits for
 * @param found the claim of another attempt whose outcome is queried or which is being removed
 * @param error the failure of the send, while the service is queried for the outcome
 */
public record ClaimState<A>(Phase phase, Optional<Claim<A>> found, Optional<Throwable> error) {
  /** What an attempt waits for. */
  public enum Phase {
    /** A read of the claim. */
    READING,
    /** Admission and the selection of an upstream. */
    ACQUIRING,
    /** The result of the create. */
    CREATING,
    /** A read after a create that was not confirmed. */
    READING_BACK,
    /** The check of the deadline between the claim and the send. */
    HOLDING,
    /** The upstream's answer. */
    SENDING,
    /** The selection of another upstream, after proof that nothing was sent to the first. */
    REACQUIRING,
    /** The service's response about the outcome of the own attempt. */
    QUERYING_OWN_OUTCOME,
    /** The service's response about the outcome of another attempt. */
    QUERYING_FOUND_OUTCOME,
    /** The service's response about the outcome of attempts that the store may have forgotten. */
    QUERYING_FORGOTTEN_OUTCOME,
    /** Confirmation that the outcome is stored. */
    RECORDING,
    /** The removal of an abandoned claim that was found. */
    REMOVING_ABANDONED,
    /** The next poll of another attempt's claim. */
    WAITING,
    /** Nothing: the attempt has ended. */
    DONE
  }

  /** Returns the state of a new attempt. */
  public static <A> ClaimState<A> initial() {
    return in(Phase.READING);
  }

  /** Returns a state without a found claim. */
  static <A> ClaimState<A> in(Phase phase) {
    return new ClaimState<>(phase, Optional.empty(), Optional.empty());
  }
}
