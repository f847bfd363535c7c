package org.agatefield.placement;

import java.util.List;

/** Decides which versions lie on which runners. Not safe for use by several threads. */
public interface PlacementPolicy {
  /** Returns the loads, drains and reservations to begin now, most urgent first. */
  List<PlannedMove> plan(PlacementInput input);
}
