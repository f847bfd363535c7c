package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LimitedReplicasTest {
  private static DemandTracker.Demand requests(double perSecond) {
    return new DemandTracker.Demand(1_000 * perSecond, perSecond, 1, 0, 0, Map.of());
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

  private static EngineView engine(String id, OptionalDouble limit, String... held) {
    Set<String> models = Set.of(held);
    Set<String> counted =
        limit.isEmpty()
            ? models
            : LimitedReplicas.countedModels(models, Set.of(), limit.getAsDouble(), DEMANDS);
    return new EngineView(id, "domain", 80_000, 0, models, counted, limit, Set.of(), ALL, true);
  }

  private static final Set<String> ALL = Set.of("busy", "rare", "rarer");

  private static List<ReplicaMove> plan(EngineView... engines) {
    List<ModelProfile> models =
        ALL.stream().map(name -> new ModelProfile(name, 30_000, 4_000, 1_000, 500)).toList();
    return new DemandReplicaPolicy().plan(List.of(engines), models, DEMANDS, 4);
  }

  @Test
  void busyModelOfLimitedRunnerIsLoadedElsewhere() {
    List<ReplicaMove> moves =
        plan(
            engine("limited", OptionalDouble.of(1), "busy"),
            engine("unlimited", OptionalDouble.empty(), "rare"));
    assertTrue(
        moves.stream().anyMatch(m -> m.runner().equals("unlimited") && m.load().equals("busy")),
        moves.toString());
  }

  @Test
  void limitedRunnerLoadsOnlyModelsThatFitItsLimit() {
    List<ReplicaMove> moves = plan(engine("limited", OptionalDouble.of(1)));
    assertFalse(moves.isEmpty());
    moves.forEach(move -> assertFalse(move.load().equals("busy"), moves.toString()));
  }

  @Test
  void memoryOfModelsThatDoNotCountStaysReserved() {
    List<ReplicaMove> moves = plan(engine("limited", OptionalDouble.of(1), "busy", "rare"));
    // Two of the models fill the engine; the busy one has no other replica and must stay.
    assertTrue(moves.stream().noneMatch(m -> m.unload().contains("busy")), moves.toString());
  }
}
