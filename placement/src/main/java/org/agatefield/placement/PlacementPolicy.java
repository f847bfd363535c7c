package org.agatefield.placement;

import java.util.List;

/** Decides which runners hold which versions. Implementations are not thread-safe. */
public interface PlacementPolicy {
  /** Returns the loads, drains and reservations to start now, most urgent first. */
  List<PlannedMove> plan(PlacementInput input);
}
