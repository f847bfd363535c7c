package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LimitedReplicasTest {
  private static DemandTracker.Demand requests(double perSecond) {
    return new DemandTracker.Demand(1_000 * perSecond, perSecond, 0, 0, 0, Map.of());
  }

  private static final Map<String, DemandTracker.Demand> DEMANDS =
      Map.of("busy", requests(8), "rare", requests(0.2), "rarer", requests(0.1));

  @Test
  void limitAboveDemandCountsAllModels() {
    Set<String> held = Set.of("busy", "rare");
    assertEquals(held, LimitedReplicas.countedModels(held, Set.of(), 20, DEMANDS));
  }

  @Test
  void busyModelNeedsAnotherReplicaAndRareOnesDoNot() {
    assertEquals(
        Set.of("rare", "rarer"),
        LimitedReplicas.countedModels(Set.of("busy", "rare", "rarer"), Set.of(), 1, DEMANDS));
  }

  @Test
  void modelsHeldElsewhereLeaveTheLimitToOthers() {
    assertEquals(
        Set.of("rare"),
        LimitedReplicas.countedModels(Set.of("rare", "rarer"), Set.of("rarer"), 0.3, DEMANDS));
  }

  @Test
  void limitOfZeroCountsOnlyModelsWithoutRequests() {
    assertEquals(
        Set.of("idle"),
        LimitedReplicas.countedModels(Set.of("rare", "idle"), Set.of(), 0, DEMANDS));
  }
}
