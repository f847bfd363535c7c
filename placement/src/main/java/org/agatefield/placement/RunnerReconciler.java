package org.agatefield.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatefield.model.LoadReport;
import org.agatefield.model.VersionId;

/**
 * Reconciles a runner with its ledger, one step at a time, and releases memory only on proof.
 *
 * <p>Either of the following proves that an engine no longer holds a version and that no earlier
 * order can load it. "Unloaded" means that the engine confirmed the last unload order to this
 * planner; a report is not enough, as it does not name versions that are still being loaded.
 *
 * <ul>
 *   <li>An engine that checks fencing tokens has unloaded the version. It then reports the version
 *       not held and a highest token of at least that of the order, which is above the tokens of
 *       all orders to load it.
 *   <li>An engine that ignores tokens has unloaded the version by an order sent after the planner
 *       had observed that order in the ledger for the whole quarantine. It then reports the version
 *       not held.
 * </ul>
 *
 * <p>If the ledger may lack orders, because the store came back from an older copy, nothing else is
 * done until no such order can take effect any more: an engine that checks tokens must report that
 * it refuses them, another one must report after the quarantine.
 *
 * <p>The report must have been requested after the last order to the runner ended. Immutable and
 * thread-safe.
 *
 * @param quarantineNanoseconds how long an order may still take effect after the last moment at
 *     which it could be sent
 */
public record RunnerReconciler(long quarantineNanoseconds) {
  private static final char VERSION_SEPARATOR = '@';

  /** The state of a runner from which its next step is decided. */
  private record Snapshot(
      RunnerLedger ledger,
      RunnerObservation observation,
      boolean checksFencingTokens,
      LedgerAges ages,
      long nowNanoseconds) {
    LoadReport report() {
      return observation.report();
    }

    boolean holds(VersionId version) {
      return report().versions().contains(version.engineName());
    }

    boolean refuses(long token) {
      return checksFencingTokens && report().highestFencingToken() > token;
    }
  }

  /** Returns the next step for a runner, if any. */
  public Optional<ReconciliationStep> next(
      RunnerLedger ledger,
      RunnerObservation observation,
      boolean checksFencingTokens,
      LedgerAges ages,
      long nowNanoseconds) {
    Snapshot snapshot =
        new Snapshot(ledger, observation, checksFencingTokens, ages, nowNanoseconds);
    if (!LedgerTransitions.isSettled(ledger)) {
      return settle(snapshot);
    }
    return afterRestart(snapshot)
        .or(() -> adoptUnknownVersion(snapshot))
        .or(() -> firstOf(snapshot, RunnerReconciler::recordLoaded))
        .or(() -> firstOf(snapshot, this::finishUnloading))
        .or(() -> firstOf(snapshot, RunnerReconciler::handleLost))
        .or(() -> firstOf(snapshot, this::unload))
        .or(() -> firstOf(snapshot, RunnerReconciler::load))
        .or(() -> firstOf(snapshot, this::removeRetired));
  }

  /** Decides the step for one ledger entry. */
  private interface EntryRule {
    Optional<ReconciliationStep> apply(Snapshot snapshot, LedgerEntry entry);
  }

  private static Optional<ReconciliationStep> firstOf(Snapshot snapshot, EntryRule rule) {
    return snapshot.ledger().entries().stream()
        .map(entry -> rule.apply(snapshot, entry))
        .flatMap(Optional::stream)
        .findFirst();
  }

  private Optional<ReconciliationStep> settle(Snapshot snapshot) {
    RunnerLedger ledger = snapshot.ledger();
    long token = LedgerTransitions.settlingToken(ledger);
    if (snapshot.checksFencingTokens() && snapshot.report().highestFencingToken() < token) {
      PlannedOrder raise =
          new PlannedOrder(PlannedOrder.Action.RAISE_TOKEN, new VersionId("", ""), 0, token);
      return Optional.of(ReconciliationStep.order(ledger, raise, "the store came back older"));
    }
    long now = snapshot.nowNanoseconds();
    long end =
        snapshot.ages().firstObservedNanoseconds(ledger.upstream(), now) + quarantineNanoseconds;
    if (!snapshot.checksFencingTokens() && snapshot.observation().askedAtNanoseconds() < end) {
      return Optional.empty();
    }
    return Optional.of(
        ReconciliationStep.write(
            LedgerTransitions.settle(ledger), "no forgotten order can take effect"));
  }

  private static Optional<ReconciliationStep> afterRestart(Snapshot snapshot) {
    RunnerLedger ledger = snapshot.ledger();
    LoadReport report = snapshot.report();
    if (report.bootIdentifier().equals(ledger.bootIdentifier())) {
      return Optional.empty();
    }
    if (snapshot.checksFencingTokens() && report.highestFencingToken() < ledger.highestToken()) {
      PlannedOrder raise =
          new PlannedOrder(
              PlannedOrder.Action.RAISE_TOKEN, new VersionId("", ""), 0, ledger.highestToken());
      return Optional.of(ReconciliationStep.order(ledger, raise, "engine restarted"));
    }
    RunnerLedger restarted = LedgerTransitions.restarted(ledger, report.bootIdentifier());
    return Optional.of(ReconciliationStep.write(restarted, "engine restarted"));
  }

  private static Optional<ReconciliationStep> adoptUnknownVersion(Snapshot snapshot) {
    for (String name :
        snapshot.report().versions().stream().filter(RunnerReconciler::isVersionName).toList()) {
      VersionId version = VersionId.parse(name);
      if (!hasEntry(snapshot, version)) {
        long unexplained = Math.max(0, snapshot.report().usedMegabytes() - heldMegabytes(snapshot));
        RunnerLedger adopted = LedgerTransitions.adopt(snapshot.ledger(), version, unexplained);
        return Optional.of(
            ReconciliationStep.write(adopted, version + " is loaded without an entry"));
      }
    }
    return Optional.empty();
  }

  private static boolean hasEntry(Snapshot snapshot, VersionId version) {
    return snapshot
        .ledger()
        .entry(version)
        .filter(each -> each.state() != LedgerState.RETIRED)
        .isPresent();
  }

  private static boolean isVersionName(String engineName) {
    int at = engineName.lastIndexOf(VERSION_SEPARATOR);
    return at > 0 && at < engineName.length() - 1;
  }

  private static long heldMegabytes(Snapshot snapshot) {
    List<String> adapters = snapshot.report().adapters();
    long held = 0;
    for (LedgerEntry entry : snapshot.ledger().entries()) {
      if (entry.state() != LedgerState.RETIRED && snapshot.holds(entry.version())) {
        held += entry.memoryMegabytes();
        held +=
            entry.adapters().stream()
                .filter(each -> adapters.contains(each.name()))
                .mapToLong(AdapterReservation::memoryMegabytes)
                .sum();
      }
    }
    return held;
  }

  private static Optional<ReconciliationStep> recordLoaded(Snapshot snapshot, LedgerEntry entry) {
    if (entry.state() != LedgerState.LOADING || !snapshot.holds(entry.version())) {
      return Optional.empty();
    }
    RunnerLedger loaded = LedgerTransitions.loaded(snapshot.ledger(), entry.version());
    return Optional.of(ReconciliationStep.write(loaded, entry.version() + " is loaded"));
  }

  private Optional<ReconciliationStep> finishUnloading(Snapshot snapshot, LedgerEntry entry) {
    if (entry.state() != LedgerState.UNLOADING || !isProvedUnloaded(snapshot, entry)) {
      return Optional.empty();
    }
    RunnerLedger released = LedgerTransitions.release(snapshot.ledger(), entry.version());
    return Optional.of(ReconciliationStep.release(released, entry.version() + " is unloaded"));
  }

  private boolean isProvedUnloaded(Snapshot snapshot, LedgerEntry entry) {
    String upstream = snapshot.ledger().upstream();
    OptionalLong sentAt = snapshot.ages().unloadSentNanoseconds(upstream, entry);
    if (snapshot.holds(entry.version()) || sentAt.isEmpty()) {
      return false;
    }
    if (snapshot.checksFencingTokens()) {
      return snapshot.report().highestFencingToken() >= entry.orderToken();
    }
    return sentAt.getAsLong() >= quarantineEndNanoseconds(snapshot, entry);
  }

  private long quarantineEndNanoseconds(Snapshot snapshot, LedgerEntry entry) {
    return snapshot
            .ages()
            .firstSeenNanoseconds(snapshot.ledger().upstream(), entry, snapshot.nowNanoseconds())
        + quarantineNanoseconds;
  }

  private static Optional<ReconciliationStep> handleLost(Snapshot snapshot, LedgerEntry entry) {
    if (!entry.isLoaded() || snapshot.holds(entry.version())) {
      return Optional.empty();
    }
    if (entry.state() == LedgerState.DRAINING) {
      RunnerLedger unloading = LedgerTransitions.unload(snapshot.ledger(), entry.version());
      return Optional.of(
          ReconciliationStep.write(unloading, entry.version() + " was lost while draining"));
    }
    RunnerLedger reloading = LedgerTransitions.renewLoadOrder(snapshot.ledger(), entry.version());
    return Optional.of(ReconciliationStep.write(reloading, entry.version() + " was lost"));
  }

  private Optional<ReconciliationStep> unload(Snapshot snapshot, LedgerEntry entry) {
    if (entry.state() != LedgerState.UNLOADING || isInQuarantine(snapshot, entry)) {
      return Optional.empty();
    }
    RunnerLedger ledger = snapshot.ledger();
    if (snapshot.refuses(entry.orderToken())) {
      ledger = LedgerTransitions.unload(ledger, entry.version());
    }
    PlannedOrder order = order(PlannedOrder.Action.UNLOAD, ledger, entry.version());
    return Optional.of(
        ReconciliationStep.order(ledger, order, entry.version() + " is to be unloaded"));
  }

  /** Returns whether the version was unloaded and only the quarantine has not ended yet. */
  private boolean isInQuarantine(Snapshot snapshot, LedgerEntry entry) {
    OptionalLong sentAt =
        snapshot.ages().unloadSentNanoseconds(snapshot.ledger().upstream(), entry);
    return !snapshot.checksFencingTokens()
        && sentAt.isPresent()
        && !snapshot.holds(entry.version())
        && snapshot.nowNanoseconds() < quarantineEndNanoseconds(snapshot, entry);
  }

  private static Optional<ReconciliationStep> load(Snapshot snapshot, LedgerEntry entry) {
    LoadReport report = snapshot.report();
    long unexplained = Math.max(0, report.usedMegabytes() - heldMegabytes(snapshot));
    long available = Math.min(report.memoryMegabytes(), snapshot.ledger().memoryMegabytes());
    boolean fits = snapshot.ledger().reservedMegabytes() + unexplained <= available;
    if (entry.state() != LedgerState.LOADING || !fits) {
      return Optional.empty();
    }
    RunnerLedger ledger = snapshot.ledger();
    if (snapshot.refuses(entry.orderToken())) {
      ledger = LedgerTransitions.renewLoadOrder(ledger, entry.version());
    }
    PlannedOrder order = order(PlannedOrder.Action.LOAD, ledger, entry.version());
    return Optional.of(
        ReconciliationStep.order(ledger, order, entry.version() + " is to be loaded"));
  }

  private static PlannedOrder order(
      PlannedOrder.Action action, RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = ledger.entry(version).orElseThrow();
    return new PlannedOrder(action, version, entry.memoryMegabytes(), entry.orderToken());
  }

  private Optional<ReconciliationStep> removeRetired(Snapshot snapshot, LedgerEntry entry) {
    long age =
        snapshot
            .ages()
            .ageNanoseconds(snapshot.ledger().upstream(), entry, snapshot.nowNanoseconds());
    if (entry.state() != LedgerState.RETIRED || age < quarantineNanoseconds) {
      return Optional.empty();
    }
    RunnerLedger removed = LedgerTransitions.forget(snapshot.ledger(), entry.version());
    return Optional.of(
        ReconciliationStep.write(removed, entry.version() + " is removed from the ledger"));
  }
}
