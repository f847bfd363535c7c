package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatefield.placement.DemandTracker.Demand;
import org.junit.jupiter.api.Test;

class ReplicaDraftTest {
  private static final int ENGINES = 98;
  private static final int MODELS = 171;
  private static final int FULL_EVALUATIONS = 70; // of some 16,000 possible moves

  private static ModelProfile size(int index) {
    return index % 2 == 0
        ? new ModelProfile("m" + index, 34_300, 4_000, 1_000, 780)
        : new ModelProfile("m" + index, 16_100, 1_900, 700, 540);
  }

  private static List<ModelProfile> models() {
    List<ModelProfile> models = new ArrayList<>();
    for (int index = 0; index < MODELS; index++) {
      models.add(size(index));
    }
    return models;
  }

  /** Returns engines with two models each, so that almost every model has a replica. */
  private static List<EngineView> engines(Map<Integer, Set<String>> onDisk) {
    List<EngineView> engines = new ArrayList<>();
    for (int index = 0; index < ENGINES; index++) {
      Set<String> held = Set.of("m" + index % (MODELS - 1), "m" + (index + ENGINES) % (MODELS - 1));
      engines.add(
          new EngineView(
              "e" + index,
              "d" + index % 6,
              83_000,
              320,
              held,
              Set.of(),
              onDisk.getOrDefault(index, Set.of()),
              true));
    }
    return engines;
  }

  private static Map<String, Demand> skewedDemand(int models) {
    Map<String, Demand> demands = new HashMap<>();
    for (int index = 0; index < models; index++) {
      double tokens = 250_000.0 / (1 + index);
      demands.put("m" + index, new Demand(tokens, tokens / 2_000, 0, 2, 100, Map.of()));
    }
    return demands;
  }

  @Test
  void bestMoveInLargeFleetNeedsFewFullEvaluations() {
    ReplicaDraft draft = new ReplicaDraft(engines(Map.of()), models(), skewedDemand(MODELS));
    ReplicaDraft.ScoredMove best = draft.best(20).orElseThrow();
    assertEquals("m0", best.move().load());
    assertTrue(draft.evaluations() <= FULL_EVALUATIONS, "evaluations " + draft.evaluations());
  }

  @Test
  void modelOnDiskOfBusyEngineIsLoadedThereInsteadOfFromTheStore() {
    Map<String, Demand> demands = new HashMap<>();
    for (int index = 0; index < MODELS - 1; index++) {
      demands.put("m" + index, new Demand(2_000, 1, 0, 1, 100, Map.of()));
    }
    String unserved = "m" + (MODELS - 1);
    demands.put(unserved, new Demand(4_000, 2, 5, 0, 10, Map.of()));
    demands.put("m41", new Demand(6_000, 3, 0, 3, 100, Map.of()));
    List<EngineView> engines = engines(Map.of(41, Set.of(unserved)));
    List<ReplicaMove> moves = new DemandReplicaPolicy().plan(engines, models(), demands, 20);
    ReplicaMove move =
        moves.stream().filter(each -> each.load().equals(unserved)).findFirst().orElseThrow();
    assertEquals("e41", move.runner());
    assertFalse(move.fromStore());
  }

  @Test
  void nothingIsEvaluatedWhileLoadIsBalanced() {
    Map<String, Demand> demands = new HashMap<>();
    for (ModelProfile model : models()) {
      demands.put(model.name(), new Demand(10, 0.01, 0, 0, 100, Map.of()));
    }
    ReplicaDraft draft = new ReplicaDraft(engines(Map.of()), models(), demands);
    assertTrue(draft.best(20).isEmpty());
    assertEquals(0, draft.evaluations());
  }
}
