package org.agatefield.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatefield.model.DemandSample;
import org.agatefield.model.VersionId;

/**
 * Loads a version when requests for it arrive and drains the least recently used ones to free
 * memory.
 *
 * <p>Serves as the baseline of measurements: it does not keep every version resident.
 */
public final class LoadOnDemandPlacement implements PlacementPolicy {
  private final Map<VersionId, Long> lastUsedNanoseconds = new HashMap<>();

  @Override
  public List<PlannedMove> plan(PlacementInput input) {
    PlacementDraft draft = new PlacementDraft(input);
    Set<String> demanded = new HashSet<>();
    for (DemandSample sample : input.demand()) {
      if (sample.requestsPerSecond() + sample.refusedPerSecond() > 0) {
        demanded.add(sample.deployment());
      }
    }
    List<DesiredVersion> wanted = DesiredVersion.of(input.configuration());
    for (DesiredVersion version : wanted) {
      if (demanded.contains(version.version().deployment())) {
        lastUsedNanoseconds.put(version.version(), input.nowNanoseconds());
      }
    }
    for (DesiredVersion version : wanted) {
      boolean used = demanded.contains(version.version().deployment());
      if (used && draft.current(version.version()).isEmpty()) {
        loadOrFreeMemory(draft, version, demanded);
      }
    }
    return draft.moves();
  }

  private void loadOrFreeMemory(
      PlacementDraft draft, DesiredVersion version, Set<String> demanded) {
    boolean loaded =
        ResidentReplicas.bestRunner(draft, version)
            .map(view -> draft.tryMove(MoveKind.LOAD, view, version.version(), "demand arrived"))
            .orElse(false);
    if (loaded || !draft.mayLoad()) {
      return;
    }
    for (RunnerView view : draft.availableRunners()) {
      if (drainLeastRecentlyUsed(draft, view, version, demanded)) {
        return;
      }
    }
  }

  private boolean drainLeastRecentlyUsed(
      PlacementDraft draft, RunnerView view, DesiredVersion version, Set<String> demanded) {
    long missing = version.size().totalMegabytes() - freeLater(draft, view);
    if (missing <= 0) {
      return true;
    }
    List<LedgerEntry> idle =
        draft.ledger(view).entries().stream()
            .filter(each -> each.state() == LedgerState.SERVING)
            .filter(each -> !demanded.contains(each.version().deployment()))
            .sorted(Comparator.comparingLong(each -> lastUsed(each.version())))
            .toList();
    if (idle.stream().mapToLong(LedgerEntry::reservedMegabytes).sum() < missing) {
      return false;
    }
    for (LedgerEntry entry : idle) {
      if (missing > 0) {
        draft.tryMove(MoveKind.DRAIN, view, entry.version(), "room for " + version.version());
        missing -= entry.reservedMegabytes();
      }
    }
    return true;
  }

  private static long freeLater(PlacementDraft draft, RunnerView view) {
    return draft.freeMegabytes(view)
        + draft.ledger(view).entries().stream()
            .filter(each -> DrainPolicy.leavingStates().contains(each.state()))
            .mapToLong(LedgerEntry::reservedMegabytes)
            .sum();
  }

  private long lastUsed(VersionId version) {
    return lastUsedNanoseconds.getOrDefault(version, Long.MIN_VALUE);
  }
}
