package org.agatefield.daemon.forward.wire;

import java.util.Optional;

/**
 * An order to a model runner. Immutable.
 *
 * @param action the action to execute
 * @param model the model's name
 * @param adapter the adapter of the model that the order applies to; empty for the model itself
 * @param holder the lease holder that sends the order
 * @param fencingToken the holder's token
 * @param acceptedOrders how many orders the runner is expected to have accepted before
 */
public record RunnerOrder(
    Action action,
    String model,
    Optional<String> adapter,
    String holder,
    long fencingToken,
    long acceptedOrders) {
  /** The actions that can be ordered. */
  public enum Action {
    /** Load a model or an adapter into memory. */
    LOAD,
    /** Unload a model or an adapter once its requests are complete. */
    UNLOAD
  }
}
