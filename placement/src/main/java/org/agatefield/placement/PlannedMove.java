package org.agatefield.placement;

import org.agatefield.model.VersionId;

/**
 * One planned change of the placement. Immutable.
 *
 * @param kind the kind of change
 * @param upstream the runner
 * @param version the version
 * @param reason the reason, for logs and operators
 */
public record PlannedMove(MoveKind kind, String upstream, VersionId version, String reason) {
  /**
   * Returns the ledger after this move.
   *
   * @throws IllegalStateException if the ledger has changed so that the move no longer fits
   */
  public RunnerLedger applyTo(RunnerLedger ledger, ReplicaSize size) {
    return switch (kind) {
      case LOAD ->
          LedgerTransitions.reserve(ledger, version, size.memoryMegabytes(), size.adapters());
      case RESERVE_ADAPTERS -> LedgerTransitions.reserveAdapters(ledger, version, size.adapters());
      case DRAIN -> LedgerTransitions.drain(ledger, version);
      case SERVE_AGAIN -> LedgerTransitions.resumeServing(ledger, version);
      case UNLOAD -> LedgerTransitions.unload(ledger, version);
    };
  }
}
