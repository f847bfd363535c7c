package org.agatefield.placement;

import java.util.List;
import java.util.Optional;
import org.agatefield.model.VersionId;

/**
 * The memory ledger of one model runner: everything that its engine holds or may still load because
 * of an order that was sent. Immutable; changed only through {@link LedgerTransitions}.
 *
 * <p>Invariants from one stored ledger to the next: the reserved memory is at most {@code
 * memoryMegabytes}, unless operators lowered that; {@code plannerToken} and {@code highestToken}
 * never decrease.
 *
 * @param upstream the runner's name
 * @param memoryMegabytes accelerator memory that may be reserved
 * @param plannerToken the fencing token of the lease of the planner that last wrote it
 * @param highestToken the highest fencing token of any order to the runner
 * @param bootIdentifier the engine start that the entries refer to; empty before the first
 * @param entries one for each version that the engine holds or may hold
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

  /** Returns the ledger of a runner to which no order was ever sent. */
  public static RunnerLedger empty(String upstream, long memoryMegabytes) {
    return new RunnerLedger(upstream, memoryMegabytes, 0, 0, "", List.of());
  }

  /** Returns the memory reserved by all entries. */
  public long reservedMegabytes() {
    return entries.stream().mapToLong(LedgerEntry::reservedMegabytes).sum();
  }

  /** Returns the memory that may still be reserved; negative if operators lowered the memory. */
  public long freeMegabytes() {
    return memoryMegabytes - reservedMegabytes();
  }

  /** Returns the entry of a version, retired ones included. */
  public Optional<LedgerEntry> entry(VersionId version) {
    return entries.stream().filter(each -> each.version().equals(version)).findFirst();
  }
}
