package org.agatefield.placement;

import org.agatefield.model.VersionId;

/**
 * An order to send to a runner's engine once the ledger is stored. Immutable.
 *
 * @param action what the engine must do
 * @param version the version; empty for {@link Action#RAISE_TOKEN}
 * @param memoryMegabytes memory that the loaded version takes
 * @param fencingToken the order's token
 */
public record PlannedOrder(
    Action action, VersionId version, long memoryMegabytes, long fencingToken) {
  /** What an engine must do. */
  public enum Action {
    /** Load the version. */
    LOAD,
    /** Unload the version and its adapters. */
    UNLOAD,
    /** Refuse all orders with a lower token from now on. */
    RAISE_TOKEN
  }
}
