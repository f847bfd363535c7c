package org.agatefield.daemon.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Upstream;
import org.agatefield.placement.LedgerTransitions;
import org.agatefield.placement.RunnerLedger;

/**
 * Makes this instance's planner the only one that can modify ledgers.
 *
 * <p>Invariant: once a takeover has completed, no write of an earlier planner based on ledgers read
 * before the takeover can succeed, because every ledger has a new version. Thread-safe.
 */
final class PlannerTakeover {
  private final LedgerTable table;

  PlannerTakeover(LedgerTable table) {
    this.table = table;
  }

  /** Reads all ledgers and writes the planner's token into the ledger of each configured runner. */
  CompletableFuture<Void> run(List<Upstream> runners, long leaseToken) {
    return table.readAll().thenCompose(read -> writeTokens(runners, leaseToken));
  }

  /** Reads one runner's ledger and writes the token and the configured memory into it. */
  CompletableFuture<Void> renew(Upstream runner, long leaseToken) {
    return table.read(runner.name()).thenCompose(read -> writeToken(runner, leaseToken));
  }

  private CompletableFuture<Void> writeTokens(List<Upstream> runners, long leaseToken) {
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    for (Upstream runner : runners) {
      writes.add(writeToken(runner, leaseToken));
    }
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new));
  }

  private CompletableFuture<Void> writeToken(Upstream runner, long leaseToken) {
    RunnerLedger ledger =
        table
            .get(runner.name())
            .orElse(RunnerLedger.empty(runner.name(), runner.memoryMegabytes()));
    try {
      return table.write(LedgerTransitions.takeOver(ledger, runner.memoryMegabytes(), leaseToken));
    } catch (IllegalStateException exception) {
      return CompletableFuture.failedFuture(exception);
    }
  }
}
