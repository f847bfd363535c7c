package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Optional;
import org.agatefield.model.LoadReport;
import org.agatefield.model.VersionId;
import org.junit.jupiter.api.Test;

class RunnerReconcilerTest {
  private static final long QUARANTINE = 100;
  private static final VersionId VERSION = new VersionId("m", "v1");

  private final RunnerReconciler steps = new RunnerReconciler(QUARANTINE);
  private final LedgerAges ages = new LedgerAges();
  private final RunnerLedger loading =
      LedgerTransitions.reserve(
          LedgerTransitions.restarted(RunnerLedger.empty("runner", 50), "boot"),
          VERSION,
          20,
          List.of());
  private final RunnerLedger unloading = LedgerTransitions.unload(loading, VERSION);

  @Test
  void memoryOfVersionThatIsStillLoadingIsNotReleasedOnReportAlone() {
    RunnerObservation reported = observed(20, List.of(), unloading.highestToken(), 10);
    ReconciliationStep step = next(unloading, reported, true, 10).orElseThrow();
    assertFalse(step.releasesMemory());
    assertEquals(PlannedOrder.Action.UNLOAD, step.order().orElseThrow().action());
  }

  @Test
  void memoryIsReleasedOnceTheEngineUnloadedAndReportsTheToken() {
    ages.observe(unloading, 1);
    ages.recordUnload("runner", VERSION, unloading.highestToken(), 5);
    RunnerObservation reported = observed(0, List.of(), unloading.highestToken(), 10);
    assertEquals(
        LedgerTransitions.release(unloading, VERSION),
        next(unloading, reported, true, 10).orElseThrow().ledger());
  }

  @Test
  void engineThatIgnoresTokensGetsSecondUnloadOrderAfterTheQuarantine() {
    ages.observe(unloading, 1);
    ages.recordUnload("runner", VERSION, unloading.highestToken(), 5);
    assertEquals(Optional.empty(), next(unloading, observed(0, List.of(), 0, 90), false, 90));
    ReconciliationStep again =
        next(unloading, observed(0, List.of(), 0, 102), false, 102).orElseThrow();
    assertEquals(PlannedOrder.Action.UNLOAD, again.order().orElseThrow().action());
    ages.recordUnload("runner", VERSION, unloading.highestToken(), 103);
    assertEquals(
        LedgerTransitions.release(unloading, VERSION),
        next(unloading, observed(0, List.of(), 0, 105), false, 105).orElseThrow().ledger());
  }

  @Test
  void nothingIsLoadedWhileUnexplainedMemoryLeavesTooLittleSpace() {
    assertEquals(Optional.empty(), next(loading, observed(31, List.of(), 0, 10), true, 10));
    assertEquals(
        PlannedOrder.Action.LOAD,
        next(loading, observed(30, List.of(), 0, 10), true, 10)
            .flatMap(ReconciliationStep::order)
            .orElseThrow()
            .action());
  }

  @Test
  void restartedEngineIsFirstOrderedToRefuseEarlierOrders() {
    LoadReport report = new LoadReport("boot-2", 50, 0, 0, 0, List.of(), List.of(), 0);
    ReconciliationStep step =
        next(loading, new RunnerObservation(report, 10), true, 10).orElseThrow();
    assertEquals(
        new PlannedOrder(
            PlannedOrder.Action.RAISE_TOKEN, new VersionId("", ""), 0, loading.highestToken()),
        step.order().orElseThrow());
  }

  @Test
  void versionLoadedWithoutAnEntryGetsOne() {
    RunnerObservation reported = observed(20, List.of("m@v0"), 0, 10);
    RunnerLedger adopted = next(loading, reported, true, 10).orElseThrow().ledger();
    LedgerEntry entry = adopted.entry(new VersionId("m", "v0")).orElseThrow();
    assertEquals(LedgerState.UNLOADING, entry.state());
    assertEquals(20, entry.reservedMegabytes());
  }

  /** The ledger of an older copy, which lacks orders that were sent, after a takeover in era 2. */
  private RunnerLedger older() {
    return LedgerTransitions.takeOver(loading, 50, (2L << 32) + 1);
  }

  @Test
  void engineMustRefuseForgottenOrdersBeforeAnythingIsOrderedByAnOlderLedger() {
    long floor = (2L << 32) + 1 << 24;
    ages.observe(older(), 1);
    ReconciliationStep raise =
        next(older(), observed(0, List.of(), loading.highestToken() + 7, 10), true, 10)
            .orElseThrow();
    assertEquals(
        new PlannedOrder(PlannedOrder.Action.RAISE_TOKEN, new VersionId("", ""), 0, floor),
        raise.order().orElseThrow());
    assertEquals(older(), raise.ledger());
    ReconciliationStep settled =
        next(older(), observed(0, List.of(), floor, 20), true, 20).orElseThrow();
    assertEquals(Optional.empty(), settled.order());
    assertFalse(settled.releasesMemory());
    PlannedOrder load =
        next(settled.ledger(), observed(0, List.of(), floor, 30), true, 30)
            .flatMap(ReconciliationStep::order)
            .orElseThrow();
    assertEquals(PlannedOrder.Action.LOAD, load.action());
    assertEquals(floor + 1, load.fencingToken());
  }

  @Test
  void engineThatIgnoresTokensGetsNoOrderByAnOlderLedgerBeforeTheQuarantineEnds() {
    ages.observe(older(), 1);
    assertEquals(Optional.empty(), next(older(), observed(0, List.of(), 0, 100), false, 150));
    ReconciliationStep settled =
        next(older(), observed(50, List.of(), 0, 101), false, 150).orElseThrow();
    assertEquals(Optional.empty(), settled.order());
    ages.observe(settled.ledger(), 150);
    assertEquals(
        Optional.empty(), next(settled.ledger(), observed(50, List.of(), 0, 160), false, 160));
  }

  @Test
  void plannersThatTakeOverLaterKeepWaitingUntilTheOlderLedgerIsSettled() {
    RunnerLedger again = LedgerTransitions.takeOver(older(), 50, (2L << 32) + 2);
    ages.observe(again, 1);
    assertEquals(Optional.empty(), next(again, observed(0, List.of(), 0, 50), false, 50));
  }

  @Test
  void ledgerOfTheStoresFirstEraIsUsedAtOnce() {
    RunnerLedger first = LedgerTransitions.takeOver(loading, 50, (1L << 32) + 1);
    assertEquals(
        PlannedOrder.Action.LOAD,
        next(first, observed(0, List.of(), 0, 10), true, 10)
            .flatMap(ReconciliationStep::order)
            .orElseThrow()
            .action());
  }

  private static RunnerObservation observed(
      long usedMegabytes, List<String> versions, long highestToken, long askedAt) {
    return new RunnerObservation(
        new LoadReport("boot", 50, usedMegabytes, 0, 0, versions, List.of(), highestToken),
        askedAt);
  }

  private Optional<ReconciliationStep> next(
      RunnerLedger ledger, RunnerObservation observation, boolean checks, long now) {
    return steps.next(ledger, observation, checks, ages, now);
  }
}
