package org.agatefield.idempotency;

import java.util.List;

/**
 * A decision: the new state and what to do, in order. Immutable.
 *
 * <p>In a step that ends the arrival, the answer to the caller comes last.
 *
 * @param <A> the answer
 */
public record ClaimStep<A>(ClaimState<A> state, List<ClaimAction<A>> actions) {
  /** Copies the list. */
  public ClaimStep {
    actions = List.copyOf(actions);
  }
}
