package org.agatefield.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.agatefield.model.LoadReport;
import org.agatefield.model.VersionId;

/**
 * Brings a runner to what its ledger says, one step at a time, and releases memory on evidence.
 *
 * <p>Evidence that an engine no longer holds a version and never will by an earlier order, where
 * "unloaded" means that the engine answered to this planner that it carried out the last order to
 * unload the version (a report does not name what is still being loaded):
 *
 * <ul>
 *   <li>an engine that checks fencing tokens has unloaded the version and then reports it not held
 *       and a highest token that is at least that of the order, which is above those of all orders
 *       to load it;
 *   <li>an engine that ignores tokens has unloaded the version by an order sent after the planner
 *       had seen that order in the ledger for the whole quarantine, and then reports it not held.
 * </ul>
 *
 * <p>The report must have been asked for after the last order to the runner had ended. Immutable;
 * safe for use by any thread.
 *
 * @param quarantineNanoseconds how long an order may still take effect after it could last be sent
 */
public record RunnerReconciler(long quarantineNanoseconds) {
  private static final char VERSION_SEPARATOR = '@';

  /** What the steps are decided on. */
  private record Scene(
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

  /** Returns the next step of a runner, if there is one to take. */
  public Optional<ReconciliationStep> next(
      RunnerLedger ledger,
      RunnerObservation observation,
      boolean checksFencingTokens,
      LedgerAges ages,
      long nowNanoseconds) {
    Scene scene = new Scene(ledger, observation, checksFencingTokens, ages, nowNanoseconds);
    return afterRestart(scene)
        .or(() -> adoption(scene))
        .or(() -> firstOf(scene, RunnerReconciler::recordLoaded))
        .or(() -> firstOf(scene, this::finishUnloading))
        .or(() -> firstOf(scene, RunnerReconciler::replaceLost))
        .or(() -> firstOf(scene, this::unload))
        .or(() -> firstOf(scene, RunnerReconciler::load))
        .or(() -> firstOf(scene, this::forget));
  }

  /** Decides on one entry of a scene. */
  private interface EntryRule {
    Optional<ReconciliationStep> apply(Scene scene, LedgerEntry entry);
  }

  private static Optional<ReconciliationStep> firstOf(Scene scene, EntryRule rule) {
    return scene.ledger().entries().stream()
        .map(entry -> rule.apply(scene, entry))
        .flatMap(Optional::stream)
        .findFirst();
  }

  private static Optional<ReconciliationStep> afterRestart(Scene scene) {
    RunnerLedger ledger = scene.ledger();
    LoadReport report = scene.report();
    if (report.bootIdentifier().equals(ledger.bootIdentifier())) {
      return Optional.empty();
    }
    if (scene.checksFencingTokens() && report.highestFencingToken() < ledger.highestToken()) {
      PlannedOrder raise =
          new PlannedOrder(
              PlannedOrder.Action.RAISE_TOKEN, new VersionId("", ""), 0, ledger.highestToken());
      return Optional.of(ReconciliationStep.order(ledger, raise, "engine restarted"));
    }
    RunnerLedger restarted = LedgerTransitions.restarted(ledger, report.bootIdentifier());
    return Optional.of(ReconciliationStep.write(restarted, "engine restarted"));
  }

  private static Optional<ReconciliationStep> adoption(Scene scene) {
    for (String name : scene.report().versions().stream().filter(RunnerReconciler::isOurs).toList()) {
      VersionId version = VersionId.parse(name);
      if (!hasEntry(scene, version)) {
        long unexplained = Math.max(0, scene.report().usedMegabytes() - heldMegabytes(scene));
        RunnerLedger adopted = LedgerTransitions.adopt(scene.ledger(), version, unexplained);
        return Optional.of(ReconciliationStep.write(adopted, version + " is held without an entry"));
      }
    }
    return Optional.empty();
  }

  private static boolean hasEntry(Scene scene, VersionId version) {
    return scene
        .ledger()
        .entry(version)
        .filter(each -> each.state() != LedgerState.RETIRED)
        .isPresent();
  }

  private static boolean isOurs(String engineName) {
    int at = engineName.lastIndexOf(VERSION_SEPARATOR);
    return at > 0 && at < engineName.length() - 1;
  }

  private static long heldMegabytes(Scene scene) {
    List<String> adapters = scene.report().adapters();
    long held = 0;
    for (LedgerEntry entry : scene.ledger().entries()) {
      if (entry.state() != LedgerState.RETIRED && scene.holds(entry.version())) {
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

  private static Optional<ReconciliationStep> recordLoaded(Scene scene, LedgerEntry entry) {
    if (entry.state() != LedgerState.LOADING || !scene.holds(entry.version())) {
      return Optional.empty();
    }
    RunnerLedger loaded = LedgerTransitions.loaded(scene.ledger(), entry.version());
    return Optional.of(ReconciliationStep.write(loaded, entry.version() + " is loaded"));
  }

  private Optional<ReconciliationStep> finishUnloading(Scene scene, LedgerEntry entry) {
    if (entry.state() != LedgerState.UNLOADING || !isProvedGone(scene, entry)) {
      return Optional.empty();
    }
    RunnerLedger released = LedgerTransitions.release(scene.ledger(), entry.version());
    return Optional.of(ReconciliationStep.release(released, entry.version() + " is gone"));
  }

  private boolean isProvedGone(Scene scene, LedgerEntry entry) {
    String upstream = scene.ledger().upstream();
    OptionalLong sentAt = scene.ages().unloadSentNanoseconds(upstream, entry);
    if (scene.holds(entry.version()) || sentAt.isEmpty()) {
      return false;
    }
    if (scene.checksFencingTokens()) {
      return scene.report().highestFencingToken() >= entry.orderToken();
    }
    return sentAt.getAsLong() >= quarantineEndNanoseconds(scene, entry);
  }

  private long quarantineEndNanoseconds(Scene scene, LedgerEntry entry) {
    return scene
            .ages()
            .firstSeenNanoseconds(scene.ledger().upstream(), entry, scene.nowNanoseconds())
        + quarantineNanoseconds;
  }

  private static Optional<ReconciliationStep> replaceLost(Scene scene, LedgerEntry entry) {
    if (!entry.isLoaded() || scene.holds(entry.version())) {
      return Optional.empty();
    }
    if (entry.state() == LedgerState.DRAINING) {
      RunnerLedger unloading = LedgerTransitions.unload(scene.ledger(), entry.version());
      return Optional.of(ReconciliationStep.write(unloading, entry.version() + " was lost while drained"));
    }
    RunnerLedger again = LedgerTransitions.renewLoadOrder(scene.ledger(), entry.version());
    return Optional.of(ReconciliationStep.write(again, entry.version() + " was lost"));
  }

  private Optional<ReconciliationStep> unload(Scene scene, LedgerEntry entry) {
    if (entry.state() != LedgerState.UNLOADING || isWaiting(scene, entry)) {
      return Optional.empty();
    }
    RunnerLedger ledger = scene.ledger();
    if (scene.refuses(entry.orderToken())) {
      ledger = LedgerTransitions.unload(ledger, entry.version());
    }
    PlannedOrder order = order(PlannedOrder.Action.UNLOAD, ledger, entry.version());
    return Optional.of(ReconciliationStep.order(ledger, order, entry.version() + " is to go"));
  }

  /** Returns whether the version was unloaded once and only the quarantine is waited for. */
  private boolean isWaiting(Scene scene, LedgerEntry entry) {
    OptionalLong sentAt = scene.ages().unloadSentNanoseconds(scene.ledger().upstream(), entry);
    return !scene.checksFencingTokens()
        && sentAt.isPresent()
        && !scene.holds(entry.version())
        && scene.nowNanoseconds() < quarantineEndNanoseconds(scene, entry);
  }

  private static Optional<ReconciliationStep> load(Scene scene, LedgerEntry entry) {
    LoadReport report = scene.report();
    long unexplained = Math.max(0, report.usedMegabytes() - heldMegabytes(scene));
    long available = Math.min(report.memoryMegabytes(), scene.ledger().memoryMegabytes());
    boolean fits = scene.ledger().reservedMegabytes() + unexplained <= available;
    if (entry.state() != LedgerState.LOADING || !fits) {
      return Optional.empty();
    }
    RunnerLedger ledger = scene.ledger();
    if (scene.refuses(entry.orderToken())) {
      ledger = LedgerTransitions.renewLoadOrder(ledger, entry.version());
    }
    PlannedOrder order = order(PlannedOrder.Action.LOAD, ledger, entry.version());
    return Optional.of(ReconciliationStep.order(ledger, order, entry.version() + " is to be loaded"));
  }

  private static PlannedOrder order(
      PlannedOrder.Action action, RunnerLedger ledger, VersionId version) {
    LedgerEntry entry = ledger.entry(version).orElseThrow();
    return new PlannedOrder(action, version, entry.memoryMegabytes(), entry.orderToken());
  }

  private Optional<ReconciliationStep> forget(Scene scene, LedgerEntry entry) {
    long age =
        scene.ages().ageNanoseconds(scene.ledger().upstream(), entry, scene.nowNanoseconds());
    if (entry.state() != LedgerState.RETIRED || age < quarantineNanoseconds) {
      return Optional.empty();
    }
    RunnerLedger forgotten = LedgerTransitions.forget(scene.ledger(), entry.version());
    return Optional.of(ReconciliationStep.write(forgotten, entry.version() + " is forgotten"));
  }
}
