package org.agatefield.placement;

import java.util.List;
import org.agatefield.model.VersionId;

/**
 * The ledger entry of one version on one runner. Immutable.
 *
 * <p>Invariant: the reservation of an entry never shrinks before the entry is released.
 *
 * @param version the version
 * @param memoryMegabytes memory that the loaded version takes, without adapters
 * @param adapters adapters that may be loaded beside it at any time, each with its memory
 * @param state stage of the version's life on the runner
 * @param orderToken the fencing token of the last order for the version
 */
public record LedgerEntry(
    VersionId version,
    long memoryMegabytes,
    List<AdapterReservation> adapters,
    LedgerState state,
    long orderToken) {
  /** Copies the list. */
  public LedgerEntry {
    adapters = List.copyOf(adapters);
  }

  /** Returns the memory that the entry takes from the runner. */
  public long reservedMegabytes() {
    return state == LedgerState.RETIRED ? 0 : replicaMegabytes();
  }

  /** Returns the memory of the version and all its adapters, whatever the state. */
  public long replicaMegabytes() {
    return memoryMegabytes + adapters.stream().mapToLong(AdapterReservation::memoryMegabytes).sum();
  }

  /** Returns whether the engine reported the version loaded and no unload was ordered. */
  public boolean isLoaded() {
    return state == LedgerState.SERVING || state == LedgerState.DRAINING;
  }

  LedgerEntry withState(LedgerState newState) {
    return new LedgerEntry(version, memoryMegabytes, adapters, newState, orderToken);
  }

  LedgerEntry withOrder(LedgerState newState, long newOrderToken) {
    return new LedgerEntry(version, memoryMegabytes, adapters, newState, newOrderToken);
  }

  LedgerEntry withReservation(long newMemoryMegabytes, List<AdapterReservation> newAdapters) {
    return new LedgerEntry(version, newMemoryMegabytes, newAdapters, state, orderToken);
  }
}
