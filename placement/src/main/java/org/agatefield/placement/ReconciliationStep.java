package org.agatefield.placement;

import java.util.Optional;

/**
 * The next step for a runner: store the ledger if it changed, then send the order. Immutable.
 *
 * @param ledger the ledger that must be stored before the order is sent
 * @param order the order, if there is one
 * @param releasesMemory whether the ledger releases memory
 * @param reason the reason, for the log
 */
public record ReconciliationStep(
    RunnerLedger ledger, Optional<PlannedOrder> order, boolean releasesMemory, String reason) {
  static ReconciliationStep write(RunnerLedger ledger, String reason) {
    return new ReconciliationStep(ledger, Optional.empty(), false, reason);
  }

  static ReconciliationStep release(RunnerLedger ledger, String reason) {
    return new ReconciliationStep(ledger, Optional.empty(), true, reason);
  }

  static ReconciliationStep order(RunnerLedger ledger, PlannedOrder order, String reason) {
    return new ReconciliationStep(ledger, Optional.of(order), false, reason);
  }
}
