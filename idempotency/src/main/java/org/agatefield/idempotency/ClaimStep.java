package org.agatefield.idempotency;

import java.util.List;

/**
 * A decision of the protocol: the new state and the actions to take, in order. Immutable.
 *
 * <p>In a step that ends the attempt, the answer to the caller is the last action.
 *
 * @param <A> the answer
 */
public record ClaimStep<A>(ClaimState<A> state, List<ClaimAction<A>> actions) {
  /** Copies the list. */
  public ClaimStep {
    actions = List.copyOf(actions);
  }
}
