package org.agatefield.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.model.VersionId;

/**
 * Tracks the ledgers as they will be after the moves chosen so far, and the loads still allowed.
 *
 * <p>Invariant: every move that {@link #tryMove} accepted fits the ledgers, and its loads stay
 * within the limits of the weight store. Confined to one thread and one plan.
 */
final class PlacementDraft {
  private final PlacementInput input;
  private final Map<String, RunnerView> views = new LinkedHashMap<>();
  private final Map<String, RunnerLedger> ledgers = new HashMap<>();
  private final List<PlannedMove> moves = new ArrayList<>();
  private int remainingLoads;

  PlacementDraft(PlacementInput input) {
    this.input = input;
    for (RunnerView view : input.runners()) {
      views.put(view.upstream().name(), view);
      ledgers.put(view.upstream().name(), view.ledger());
    }
    long loading =
        input.runners().stream()
            .filter(RunnerView::available)
            .flatMap(view -> view.ledger().entries().stream())
            .filter(entry -> entry.state() == LedgerState.LOADING)
            .count();
    int slots = input.configuration().weightStore().concurrentLoads() - (int) loading;
    remainingLoads = Math.max(0, Math.min(input.loadAllowance(), slots));
  }

  PlacementInput input() {
    return input;
  }

  List<PlannedMove> moves() {
    return moves;
  }

  boolean mayLoad() {
    return remainingLoads > 0;
  }

  List<RunnerView> availableRunners() {
    return views.values().stream().filter(RunnerView::available).toList();
  }

  RunnerLedger ledger(RunnerView view) {
    return ledgers.get(view.upstream().name());
  }

  Optional<LedgerEntry> entry(RunnerView view, VersionId version) {
    return ledger(view).entry(version).filter(each -> each.state() != LedgerState.RETIRED);
  }

  /** Returns the available runners where the version is in one of the states. */
  List<RunnerView> runnersWith(VersionId version, List<LedgerState> states) {
    return availableRunners().stream()
        .filter(
            view -> entry(view, version).filter(each -> states.contains(each.state())).isPresent())
        .toList();
  }

  List<RunnerView> serving(VersionId version) {
    return runnersWith(version, List.of(LedgerState.SERVING));
  }

  /** Returns the available runners where the version is loading or serving. */
  List<RunnerView> current(VersionId version) {
    return runnersWith(version, List.of(LedgerState.LOADING, LedgerState.SERVING));
  }

  /** Returns the memory that may be reserved on a runner, also limited by the engine's report. */
  long freeMegabytes(RunnerView view) {
    long reserved = ledger(view).reservedMegabytes();
    long reported =
        view.report()
            .map(each -> each.memoryMegabytes())
            .filter(each -> each > 0)
            .orElse(Long.MAX_VALUE);
    return Math.min(ledger(view).memoryMegabytes(), reported) - reserved;
  }

  /** Returns whether the version may be loaded on a runner where it is not. */
  boolean fits(RunnerView view, VersionId version, ReplicaSize size) {
    boolean lateUnloadMayArrive =
        !view.upstream().checksFencingTokens() && ledger(view).entry(version).isPresent();
    return !lateUnloadMayArrive
        && entry(view, version).isEmpty()
        && LedgerTransitions.reservationMegabytes(
                ledger(view), version, size.memoryMegabytes(), size.adapters())
            <= freeMegabytes(view);
  }

  /** Adds the move if it fits; returns whether it was added. */
  boolean tryMove(MoveKind kind, RunnerView view, VersionId version, String reason) {
    ReplicaSize size = ReplicaSize.of(input.configuration(), version);
    if (kind == MoveKind.LOAD && (!mayLoad() || !fits(view, version, size))) {
      return false;
    }
    PlannedMove move = new PlannedMove(kind, view.upstream().name(), version, reason);
    ledgers.put(view.upstream().name(), move.applyTo(ledger(view), size));
    moves.add(move);
    if (kind == MoveKind.LOAD) {
      remainingLoads--;
    }
    return true;
  }
}
