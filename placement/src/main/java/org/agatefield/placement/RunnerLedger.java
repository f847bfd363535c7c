package org.agatefield.placement;

import java.util.List;
import java.util.Optional;
import org.agatefield.model.VersionId;

/**
 * The memory ledger of one model runner: everything that its engine holds or may yet load by an
 * order that was ever sent. Immutable; changed by {@link LedgerTransitions} alone.
 *
 * <p>Invariants, from one accepted ledger to the next: the reserved memory is at most {@code
 * memoryMegabytes} unless the operators lowered that; {@code plannerToken} and {@code highestToken}
 * never fall.
 *
 * @param upstream the runner's name
 * @param memoryMegabytes accelerator memory that may be reserved
 * @param plannerToken the fencing token of the planner's lease under which it was written last
 * @param highestToken the highest fencing token of any order to the runner
 * @param bootIdentifier the start of the engine that the entries speak of; empty before the first
 * @param entries one for each version that is or may be there
 */
public record RunnerLedger(
    String upstream,
    long memoryMegabytes,
    long plannerToken,
    long highestToken,
    String bootIdentifier,
    List<LedgerEntry> entries) {
  /** Copies the list. */
  public RunnerLedger {
    entries = List.copyOf(entries);
  }

  /** Returns the ledger of a runner that no order was ever sent to. */
  public static RunnerLedger empty(String upstream, long memoryMegabytes) {
    return new RunnerLedger(upstream, memoryMegabytes, 0, 0, "", List.of());
  }

  /** Returns the memory that is reserved. */
  public long reservedMegabytes() {
    return entries.stream().mapToLong(LedgerEntry::reservedMegabytes).sum();
  }

  /** Returns the memory that may still be reserved; negative if the runner was made smaller. */
  public long freeMegabytes() {
    return memoryMegabytes - reservedMegabytes();
  }

  /** Returns the entry of a version, retired ones included. */
  public Optional<LedgerEntry> entry(VersionId version) {
    return entries.stream().filter(each -> each.version().equals(version)).findFirst();
  }
}
