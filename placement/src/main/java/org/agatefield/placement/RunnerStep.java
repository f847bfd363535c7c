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
public record RunnerStep(
    RunnerLedger ledger, Optional<PlannedOrder> order, boolean releasesMemory, String reason) {
  static RunnerStep write(RunnerLedger ledger, String reason) {
    return new RunnerStep(ledger, Optional.empty(), false, reason);
  }

  static RunnerStep release(RunnerLedger ledger, String reason) {
    return new RunnerStep(ledger, Optional.empty(), true, reason);
  }

  static RunnerStep order(RunnerLedger ledger, PlannedOrder order, String reason) {
    return new RunnerStep(ledger, Optional.of(order), false, reason);
  }
}
