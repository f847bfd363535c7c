package org.agatefield.placement;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.agatefield.model.VersionId;

/**
 * Decides when a draining replica is unloaded and when it serves again. Applies to every placement
 * policy. Immutable and thread-safe.
 *
 * @param minimumNanoseconds time within which every instance learns that a replica drains
 * @param maximumNanoseconds time after which a replica is unloaded even if requests still run there
 */
public record DrainPolicy(long minimumNanoseconds, long maximumNanoseconds) {
  /** Adds the moves of the draining replicas to the draft. */
  void apply(PlacementDraft draft) {
    Set<VersionId> wanted =
        DesiredVersion.of(draft.input().configuration()).stream()
            .map(DesiredVersion::version)
            .collect(Collectors.toSet());
    for (RunnerView view : draft.availableRunners()) {
      for (LedgerEntry entry : draft.ledger(view).entries()) {
        if (entry.state() == LedgerState.DRAINING) {
          decide(draft, view, entry, wanted.contains(entry.version()));
        }
      }
    }
  }

  private void decide(PlacementDraft draft, RunnerView view, LedgerEntry entry, boolean wanted) {
    VersionId version = entry.version();
    if (wanted && draft.serving(version).isEmpty()) {
      draft.tryMove(MoveKind.SERVE_AGAIN, view, version, "no other replica serves");
      return;
    }
    if (isDrained(draft.input(), view, entry)) {
      draft.tryMove(MoveKind.UNLOAD, view, version, "drained");
    }
  }

  private boolean isDrained(PlacementInput input, RunnerView view, LedgerEntry entry) {
    long age = input.ages().ageNanoseconds(view.upstream().name(), entry, input.nowNanoseconds());
    boolean idle =
        view.report()
            .map(each -> each.runningRequests() + each.waitingRequests() == 0)
            .orElse(false);
    return age >= maximumNanoseconds || (idle && age >= minimumNanoseconds);
  }

  /** Returns the states of replicas that still take memory but will be unloaded. */
  static List<LedgerState> leavingStates() {
    return List.of(LedgerState.DRAINING, LedgerState.UNLOADING);
  }
}
