package org.agatefield.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Makes the replicas that even out the engines' work most, models without a replica first.
 *
 * <p>Answers the load pattern of a few models with most of the demand and many with little, where
 * the few change within seconds: demand that moves finds more replicas within a load's time, and
 * models that nobody asks for make way. Invariants: the last replica of a model with requests that
 * wait or run, or that was asked for in the last second, is never given up; an engine is never
 * filled beyond its memory; each engine gets at most one move, and only if it can take an order.
 * Stateless.
 */
public final class DemandReplicaPolicy implements ReplicaPolicy {
  private static final int MOVES_PER_PLAN = 8; // bounds the time of a plan; the next one goes on

  @Override
  public List<ReplicaMove> plan(
      List<EngineView> engines,
      List<ModelProfile> models,
      Map<String, DemandTracker.Demand> demands,
      int storeLoads) {
    ReplicaDraft draft = new ReplicaDraft(engines, models, demands);
    List<ReplicaMove> moves = new ArrayList<>();
    int storeLoadsLeft = storeLoads;
    Optional<ReplicaDraft.Scored> best = draft.best(storeLoadsLeft);
    while (best.isPresent() && moves.size() < MOVES_PER_PLAN) {
      ReplicaMove move = best.get().move();
      moves.add(move);
      draft.apply(best.get());
      if (move.fromStore()) {
        storeLoadsLeft--;
      }
      best = draft.best(storeLoadsLeft);
    }
    return moves;
  }
}
