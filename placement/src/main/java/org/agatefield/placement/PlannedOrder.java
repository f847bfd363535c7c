package org.agatefield.placement;

import org.agatefield.model.VersionId;

/**
 * An order to send to a runner's engine once the ledger is written. Immutable.
 *
 * @param action what to order
 * @param version the version; for {@link Action#RAISE_TOKEN} the one that is waited for
 * @param memoryMegabytes memory that the loaded version takes
 * @param fencingToken the order's token
 */
public record PlannedOrder(
    Action action, VersionId version, long memoryMegabytes, long fencingToken) {
  /** What an engine is ordered to do. */
  public enum Action {
    /** Load the version. */
    LOAD,
    /** Unload the version and the adapters beside it. */
    UNLOAD,
    /** Refuse all orders with a lower token from now on. */
    RAISE_TOKEN
  }
}
