package org.agatefield.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides the moves of one round: what becomes of draining replicas, then what a policy asks for.
 *
 * <p>Not safe for use by several threads.
 */
public final class PlacementPlanner {
  private final PlacementPolicy policy;
  private final DrainPolicy drainRules;

  /** Creates a planner. */
  public PlacementPlanner(PlacementPolicy policy, DrainPolicy drainRules) {
    this.policy = policy;
    this.drainRules = drainRules;
  }

  /**
   * Returns the moves to begin now, at most one for each entry of a ledger. Each fits the ledgers
   * of the input after the moves before it.
   */
  public List<PlannedMove> plan(PlacementInput input) {
    PlacementDraft draft = new PlacementDraft(input);
    drainRules.apply(draft);
    List<PlannedMove> moves = new ArrayList<>(draft.moves());
    if (moves.isEmpty()) {
      moves.addAll(policy.plan(input));
    }
    return moves;
  }
}
