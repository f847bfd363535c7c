package org.agatefield.placement;

import org.agatefield.model.VersionId;

/**
 * One change of a placement. Immutable.
 *
 * @param kind what to do
 * @param upstream the runner
 * @param version the version
 * @param reason why, for logs and operators
 */
public record PlannedMove(MoveKind kind, String upstream, VersionId version, String reason) {
  /** Returns the ledger after this move; fails if the move does not fit it any more. */
  public RunnerLedger applyTo(RunnerLedger ledger, ReplicaSize size) {
    return switch (kind) {
      case LOAD -> LedgerTransitions.reserve(ledger, version, size.memoryMegabytes(), size.adapters());
      case RESERVE_ADAPTERS -> LedgerTransitions.reserveAdapters(ledger, version, size.adapters());
      case DRAIN -> LedgerTransitions.drain(ledger, version);
      case SERVE_AGAIN -> LedgerTransitions.resumeServing(ledger, version);
      case UNLOAD -> LedgerTransitions.unload(ledger, version);
    };
  }
}
