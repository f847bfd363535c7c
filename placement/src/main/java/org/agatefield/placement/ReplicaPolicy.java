package org.agatefield.placement;

import java.util.List;
import java.util.Map;

/** Decides which replicas to add. Implementations are confined to one thread. */
public interface ReplicaPolicy {
  /**
   * Returns moves, the most useful first, at most one for each runner.
   *
   * @param storeLoads loads from the weight store that may start now
   */
  List<ReplicaMove> plan(
      List<EngineView> engines,
      List<ModelProfile> models,
      Map<String, DemandTracker.Demand> demands,
      int storeLoads);
}
