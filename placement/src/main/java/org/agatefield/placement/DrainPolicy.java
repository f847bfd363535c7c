package org.agatefield.placement;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.agatefield.model.VersionId;

/**
 * When a draining replica is unloaded, and when it must serve again. The same for every policy.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param minimumNanoseconds how long every instance needs to learn that a replica drains
 * @param maximumNanoseconds how long requests that run there may take to end
 */
public record DrainPolicy(long minimumNanoseconds, long maximumNanoseconds) {
  /** Adds to the draft what becomes of each draining replica. */
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

  /** Returns the states in which a version still takes memory that a drain would free later. */
  static List<LedgerState> leavingStates() {
    return List.of(LedgerState.DRAINING, LedgerState.UNLOADING);
  }
}
