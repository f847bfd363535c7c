package org.agatefield.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.VersionId;

/**
 * Plans the moves that keep every configured version on its minimum number of runners and remove
 * versions that are no longer configured.
 *
 * <p>A missing replica is loaded where it fits. If it fits nowhere, replicas beyond the minimum are
 * drained; if there are none, a version is first loaded on another runner so that its replica here
 * exceeds the minimum. The last serving replica of a configured version or of a deployment is never
 * drained. Confined to one thread and one plan.
 */
final class ResidentReplicas {
  private final PlacementDraft draft;
  private final List<DesiredVersion> wanted;
  private final Map<VersionId, DesiredVersion> byVersion = new HashMap<>();

  ResidentReplicas(PlacementDraft draft) {
    this.draft = draft;
    this.wanted = DesiredVersion.of(draft.input().configuration());
    wanted.forEach(each -> byVersion.put(each.version(), each));
  }

  /** Adds the moves to the draft; returns whether every version has its minimum of replicas. */
  boolean apply() {
    boolean complete = true;
    for (DesiredVersion version : wanted) {
      complete &= loadMissing(version);
    }
    wanted.forEach(this::reserveAdapters);
    drainUnwanted();
    return complete;
  }

  private boolean loadMissing(DesiredVersion version) {
    int missing = version.minimumReplicas() - draft.current(version.version()).size();
    missing -= resumeServing(version, missing);
    while (missing > 0) {
      Optional<RunnerView> runner = bestRunner(draft, version);
      if (runner.isEmpty()) {
        freeMemory(version);
        return false;
      }
      if (!draft.tryMove(MoveKind.LOAD, runner.get(), version.version(), "below the minimum")) {
        return false;
      }
      missing--;
    }
    return true;
  }

  private int resumeServing(DesiredVersion version, int missing) {
    int returned = 0;
    for (RunnerView view : draft.runnersWith(version.version(), List.of(LedgerState.DRAINING))) {
      if (returned < missing) {
        draft.tryMove(MoveKind.SERVE_AGAIN, view, version.version(), "below the minimum");
        returned++;
      }
    }
    return returned;
  }

  /**
   * Returns the runner that fits a further replica best: one in another region first, then one in
   * another failure domain, then the one with the most free memory.
   */
  static Optional<RunnerView> bestRunner(PlacementDraft draft, DesiredVersion version) {
    Set<FailureDomain> domains = new HashSet<>();
    Set<String> regions = new HashSet<>();
    for (RunnerView view : draft.current(version.version())) {
      domains.add(view.upstream().failureDomain());
      regions.add(view.upstream().failureDomain().region());
    }
    Comparator<RunnerView> newRegionFirst =
        Comparator.comparing(view -> regions.contains(view.upstream().failureDomain().region()));
    return draft.availableRunners().stream()
        .filter(view -> draft.fits(view, version.version(), version.size()))
        .min(
            newRegionFirst
                .thenComparing(view -> domains.contains(view.upstream().failureDomain()))
                .thenComparing(draft::freeMegabytes, Comparator.reverseOrder())
                .thenComparing(view -> view.upstream().name()));
  }

  private void reserveAdapters(DesiredVersion version) {
    List<LedgerState> holding = List.of(LedgerState.LOADING, LedgerState.SERVING);
    for (RunnerView view : draft.runnersWith(version.version(), holding)) {
      LedgerEntry entry = draft.entry(view, version.version()).orElseThrow();
      if (entry.adapters().containsAll(version.size().adapters())) {
        continue;
      }
      long grown =
          LedgerTransitions.reservationMegabytes(
              draft.ledger(view),
              version.version(),
              version.size().memoryMegabytes(),
              version.size().adapters());
      if (grown - entry.replicaMegabytes() <= draft.freeMegabytes(view)) {
        draft.tryMove(MoveKind.RESERVE_ADAPTERS, view, version.version(), "new adapters");
      } else {
        freeMemoryOn(view, grown - entry.replicaMegabytes(), version.version());
      }
    }
  }

  private void drainUnwanted() {
    for (RunnerView view : draft.availableRunners()) {
      for (LedgerEntry entry : draft.ledger(view).entries()) {
        VersionId version = entry.version();
        if (byVersion.containsKey(version)) {
          continue;
        }
        if (entry.state() == LedgerState.SERVING && mayDrain(version)) {
          draft.tryMove(MoveKind.DRAIN, view, version, "not wanted");
        } else if (entry.state() == LedgerState.LOADING) {
          draft.tryMove(MoveKind.UNLOAD, view, version, "not wanted");
        }
      }
    }
  }

  /** Returns whether one serving replica of the version may be drained. */
  private boolean mayDrain(VersionId version) {
    DesiredVersion known = byVersion.get(version);
    if (known != null) {
      return draft.serving(version).size() > known.minimumReplicas();
    }
    return wanted.stream()
        .filter(each -> each.version().deployment().equals(version.deployment()))
        .noneMatch(each -> draft.serving(each.version()).isEmpty());
  }

  private void freeMemory(DesiredVersion version) {
    boolean alreadyPlanned =
        draft.availableRunners().stream()
            .filter(view -> draft.entry(view, version.version()).isEmpty())
            .anyMatch(view -> freeLater(view) >= version.size().totalMegabytes());
    if (alreadyPlanned) {
      return;
    }
    for (RunnerView view : draft.availableRunners()) {
      if (draft.entry(view, version.version()).isEmpty()
          && freeMemoryOn(view, version.size().totalMegabytes(), version.version())) {
        return;
      }
    }
    relocateToFreeMemory(version);
  }

  /** Returns the memory that is free once every draining and unloading replica is unloaded. */
  private long freeLater(RunnerView view) {
    return draft.freeMegabytes(view)
        + draft.ledger(view).entries().stream()
            .filter(each -> DrainPolicy.leavingStates().contains(each.state()))
            .mapToLong(LedgerEntry::reservedMegabytes)
            .sum();
  }

  private boolean freeMemoryOn(RunnerView view, long megabytes, VersionId beneficiary) {
    long missing = megabytes - freeLater(view);
    if (missing <= 0) {
      return true;
    }
    List<LedgerEntry> surplus =
        draft.ledger(view).entries().stream()
            .filter(each -> each.state() == LedgerState.SERVING)
            .filter(each -> !each.version().equals(beneficiary))
            .filter(each -> mayDrain(each.version()))
            .sorted(Comparator.comparingLong(LedgerEntry::reservedMegabytes).reversed())
            .toList();
    if (surplus.stream().mapToLong(LedgerEntry::reservedMegabytes).sum() < missing) {
      return false;
    }
    for (LedgerEntry entry : surplus) {
      if (missing > 0) {
        draft.tryMove(MoveKind.DRAIN, view, entry.version(), "room for " + beneficiary);
        missing -= entry.reservedMegabytes();
      }
    }
    return true;
  }

  private void relocateToFreeMemory(DesiredVersion version) {
    for (RunnerView view : draft.availableRunners()) {
      if (draft.entry(view, version.version()).isPresent()) {
        continue;
      }
      long missing = version.size().totalMegabytes() - freeLater(view);
      for (LedgerEntry entry : draft.ledger(view).entries()) {
        DesiredVersion movable = byVersion.get(entry.version());
        boolean helps = entry.reservedMegabytes() >= missing;
        if (movable == null || !helps || entry.state() != LedgerState.SERVING) {
          continue;
        }
        boolean alreadyMoving = draft.current(entry.version()).size() > movable.minimumReplicas();
        if (alreadyMoving) {
          return;
        }
        Optional<RunnerView> other = bestRunner(draft, movable);
        String reason = "room for " + version.version() + " on " + view.upstream().name();
        if (other.isPresent()
            && draft.tryMove(MoveKind.LOAD, other.get(), entry.version(), reason)) {
          return;
        }
      }
    }
  }
}
