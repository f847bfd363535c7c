package org.agatefield.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Adds the replicas that balance the load of the engines best, models without a replica first.
 *
 * <p>Designed for demand that concentrates on a few models and shifts to others within seconds: a
 * model whose demand rises gets more replicas within the time of one load, and models without
 * requests are unloaded for them. Invariants: the last replica of a model that has waiting or
 * running requests, or was requested in the last second, is never unloaded; an engine's memory is
 * never exceeded; each engine gets at most one move, and only if it accepts orders. Stateless.
 */
public final class DemandReplicaPolicy implements ReplicaPolicy {
  private static final int MOVES_PER_PLAN = 8; // bounds the planning time; the next plan continues

  @Override
  public List<ReplicaMove> plan(
      List<EngineView> engines,
      List<ModelProfile> models,
      Map<String, DemandTracker.Demand> demands,
      int storeLoads) {
    ReplicaDraft draft = new ReplicaDraft(engines, models, demands);
    List<ReplicaMove> moves = new ArrayList<>();
    int remainingStoreLoads = storeLoads;
    Optional<ReplicaDraft.ScoredMove> best = draft.best(remainingStoreLoads);
    while (best.isPresent() && moves.size() < MOVES_PER_PLAN) {
      ReplicaMove move = best.get().move();
      moves.add(move);
      draft.apply(best.get());
      if (move.fromStore()) {
        remainingStoreLoads--;
      }
      best = draft.best(remainingStoreLoads);
    }
    return moves;
  }
}
