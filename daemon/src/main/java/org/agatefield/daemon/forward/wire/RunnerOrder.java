package org.agatefield.daemon.forward.wire;

import java.util.Optional;

/**
 * An order to a model runner. Immutable.
 *
 * @param action what to do
 * @param model the model's name
 * @param adapter the adapter of that model that is meant; empty for the model itself
 * @param holder who gives the order
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
  /** What a runner can be told to do. */
  public enum Action {
    /** Take a model or an adapter into memory. */
    LOAD,
    /** Drop a model or an adapter once its requests are done. */
    UNLOAD
  }
}
