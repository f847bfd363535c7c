package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.agatefield.placement.DemandTracker.Demand;
import org.junit.jupiter.api.Test;

class DemandReplicaPolicyTest {
  private static final double CAPACITY = 83_000;
  private static final double RESERVED = 320;
  private static final ModelProfile BIG_A = big("a");
  private static final ModelProfile BIG_B = big("b");
  private static final ModelProfile BIG_C = big("c");

  private final ReplicaPolicy policy = new DemandReplicaPolicy();

  private static ModelProfile big(String name) {
    return new ModelProfile(name, 34_300, 5_400, 1_100, 780);
  }

  private static EngineView engine(String id, Set<String> held, Set<String> onDisk) {
    return new EngineView(id, "d", CAPACITY, RESERVED, held, Set.of(), onDisk, true);
  }

  private static Demand demand(double tokens, int waiting, int running, long idle) {
    return new Demand(tokens, tokens / 2_000, waiting, running, idle, Map.of());
  }

  @Test
  void modelWithMostDemandGetsSecondReplicaInPlaceOfAnIdleModel() {
    List<EngineView> engines =
        List.of(
            engine("one", Set.of("a", "b"), Set.of()),
            engine("two", Set.of("b", "c"), Set.of("a", "c")));
    Map<String, Demand> demands =
        Map.of("a", demand(30_000, 0, 20, 10), "c", demand(300, 0, 0, 2_000));
    List<ReplicaMove> moves = policy.plan(engines, List.of(BIG_A, BIG_B, BIG_C), demands, 0);
    assertEquals("two", moves.get(0).runner());
    assertEquals("a", moves.get(0).load());
    assertFalse(moves.get(0).fromStore());
  }

  @Test
  void modelWithWaitingRequestsIsLoadedBeforeReplicasAreAdded() {
    List<EngineView> engines =
        List.of(engine("one", Set.of("a"), Set.of()), engine("two", Set.of("b"), Set.of("c", "b")));
    Map<String, Demand> demands =
        Map.of("a", demand(5_000, 0, 3, 10), "c", demand(4_000, 6, 0, 10));
    List<ReplicaMove> moves = policy.plan(engines, List.of(BIG_A, BIG_B, BIG_C), demands, 2);
    assertEquals(new ReplicaMove("two", List.of(), "c", false, 1_100), moves.get(0));
  }

  @Test
  void nothingMovesWithoutDemand() {
    List<EngineView> engines = List.of(engine("one", Set.of("a"), Set.of("b")));
    assertTrue(policy.plan(engines, List.of(BIG_A, BIG_B), Map.of(), 4).isEmpty());
  }

  @Test
  void lastStoreLoadIsReservedForModelsWithoutReplica() {
    List<EngineView> engines =
        List.of(engine("one", Set.of("a"), Set.of()), engine("two", Set.of(), Set.of()));
    Map<String, Demand> demands = Map.of("a", demand(40_000, 0, 40, 10));
    assertTrue(policy.plan(engines, List.of(BIG_A), demands, 1).isEmpty());
    assertEquals(1, policy.plan(engines, List.of(BIG_A), demands, 2).size());
  }

  @Property(tries = 400, seed = "2026")
  void memoryIsNeverExceededAndNoModelInUseLosesItsLastReplica(@ForAll long seed) {
    Random random = new Random(seed);
    List<ModelProfile> models = new ArrayList<>();
    for (int index = 0; index < 12; index++) {
      double weights = random.nextBoolean() ? 34_300 : 16_100;
      models.add(new ModelProfile("m" + index, weights, 5_400, 1_100, 780));
    }
    List<EngineView> engines = randomEngines(random, models);
    Map<String, Demand> demands = new HashMap<>();
    for (ModelProfile model : models) {
      if (random.nextInt(3) > 0) {
        demands.put(
            model.name(),
            demand(
                random.nextInt(40_000),
                random.nextInt(4),
                random.nextInt(4),
                random.nextInt(8_000)));
      }
    }
    List<ReplicaMove> moves = policy.plan(engines, models, demands, 3);
    assertMovesAreSafe(engines, models, demands, moves);
  }

  private static List<EngineView> randomEngines(Random random, List<ModelProfile> models) {
    List<EngineView> engines = new ArrayList<>();
    for (int index = 0; index < 6; index++) {
      Set<String> held = new HashSet<>();
      Set<String> onDisk = new HashSet<>();
      double used = 0;
      for (ModelProfile model : models) {
        boolean fits = used + model.weightsMegabytes() <= CAPACITY - RESERVED;
        if (fits && random.nextInt(3) == 0) {
          held.add(model.name());
          used += model.weightsMegabytes();
        }
        if (random.nextInt(3) == 0) {
          onDisk.add(model.name());
        }
      }
      engines.add(engine("e" + index, held, onDisk));
    }
    return engines;
  }

  private static void assertMovesAreSafe(
      List<EngineView> engines,
      List<ModelProfile> models,
      Map<String, Demand> demands,
      List<ReplicaMove> moves) {
    Map<String, Set<String>> held = new HashMap<>();
    engines.forEach(engine -> held.put(engine.id(), new HashSet<>(engine.held())));
    Map<String, Double> sizes = new HashMap<>();
    models.forEach(model -> sizes.put(model.name(), model.weightsMegabytes()));
    Set<String> moved = new HashSet<>();
    int fromStore = 0;
    for (ReplicaMove move : moves) {
      assertTrue(moved.add(move.runner()), "two moves for one engine");
      Set<String> modelsOfEngine = held.get(move.runner());
      for (String victim : move.unload()) {
        assertTrue(modelsOfEngine.remove(victim));
        Demand demand = demands.getOrDefault(victim, Demand.NONE);
        boolean inUse =
            demand.waiting() > 0 || demand.running() > 0 || demand.idleMilliseconds() < 1_000;
        boolean elsewhere = held.values().stream().anyMatch(each -> each.contains(victim));
        assertTrue(elsewhere || !inUse, "last replica of " + victim + " unloaded");
      }
      modelsOfEngine.add(move.load());
      double used = modelsOfEngine.stream().mapToDouble(sizes::get).sum();
      assertTrue(used + RESERVED <= CAPACITY, "engine memory exceeded: " + used);
      fromStore += move.fromStore() ? 1 : 0;
    }
    assertTrue(fromStore <= 3, "more store loads than allowed");
  }
}
