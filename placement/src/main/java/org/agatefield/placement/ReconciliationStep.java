package org.agatefield.placement;

import java.util.Optional;

/**
 * The next thing to do for a runner: first write the ledger if it changed, then send the order.
 * Immutable.
 *
 * @param ledger the ledger as it must stand in the store before the order is sent
 * @param order the order, if there is one
 * @param releasesMemory whether the ledger gives memory back
 * @param reason why, for the log
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
