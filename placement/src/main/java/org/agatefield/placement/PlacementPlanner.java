package org.agatefield.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Plans the moves of one round: those of draining replicas first, then those of the policy. Not
 * thread-safe.
 */
public final class PlacementPlanner {
  private final PlacementPolicy policy;
  private final DrainPolicy drainPolicy;

  /** Creates a planner that applies the drain policy before the placement policy. */
  public PlacementPlanner(PlacementPolicy policy, DrainPolicy drainPolicy) {
    this.policy = policy;
    this.drainPolicy = drainPolicy;
  }

  /**
   * Returns the moves to start now, at most one for each ledger entry. Each fits the ledgers of the
   * input as changed by the moves before it.
   */
  public List<PlannedMove> plan(PlacementInput input) {
    PlacementDraft draft = new PlacementDraft(input);
    drainPolicy.apply(draft);
    List<PlannedMove> moves = new ArrayList<>(draft.moves());
    if (moves.isEmpty()) {
      moves.addAll(policy.plan(input));
    }
    return moves;
  }
}
