package org.agatefield.placement;

import java.util.List;

/** Keeps each version on its minimum number of runners and ignores demand. Stateless. */
public final class StaticPlacement implements PlacementPolicy {
  @Override
  public List<PlannedMove> plan(PlacementInput input) {
    PlacementDraft draft = new PlacementDraft(input);
    new ResidentReplicas(draft).apply();
    return draft.moves();
  }
}
