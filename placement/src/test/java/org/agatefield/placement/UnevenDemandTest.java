package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Replays 42 engines and 131 models, of which 20 of 50 have almost all demand; a third of the
 * engines and of the models is several times as fast as the others.
 */
class UnevenDemandTest {
  private static final long[] SEEDS = {1, 2, 3, 4, 5, 6};
  private static final double SHORT_STORE_LOAD_MILLISECONDS = 1_500;
  private static final double LONG_STORE_LOAD_MILLISECONDS = 5_400;
  private static final long WARM_UP_MILLISECONDS = 20_000;
  private static final long SHIFT_MILLISECONDS = 8_000;
  private static final int[][] SHIFTS = {{1, 5, 12}, {0, 8, 15}, {2, 6, 17}};
  // An engine at a higher level has a queue that grows whenever requests come closer together.
  private static final double SUFFICIENT_LEVEL = 0.9;
  private static final long FOLLOW_MILLISECONDS = 2_000;
  private static final long RARE_OBJECTIVE_MILLISECONDS = 5_000;
  private static final double STORE_LOADS_PER_SECOND = 10;
  private static final long CEILING_WINDOW_MILLISECONDS = 5_000;

  private static UnevenDemandReplay warm(long seed, double storeLoadMilliseconds) {
    UnevenDemandReplay replay =
        new UnevenDemandReplay(seed, storeLoadMilliseconds, new DemandReplicaPolicy());
    replay.runUntil(WARM_UP_MILLISECONDS);
    replay.rareWaits.clear();
    return replay;
  }

  /** Returns how long after a shift the orders were given that suffice for the risen models. */
  private static long ordered(UnevenDemandReplay replay, int... shift) {
    List<UnevenDemandReplay.Model> risen = replay.shift(shift);
    long at = replay.now;
    long result = SHIFT_MILLISECONDS;
    while (replay.now < at + SHIFT_MILLISECONDS) {
      replay.step();
      boolean justPlanned = replay.now % UnevenDemandReplay.PLAN_MILLISECONDS == 0;
      if (justPlanned
          && result == SHIFT_MILLISECONDS
          && risen.stream().allMatch(each -> replay.orderedLevel(each) <= SUFFICIENT_LEVEL)) {
        result = Math.min(result, replay.now - at);
      }
    }
    return result;
  }

  @Test
  void ordersForRisenModelsAreMostlyGivenWithinTwoSecondsOfShift() {
    List<Long> times = new ArrayList<>();
    for (long seed : SEEDS) {
      UnevenDemandReplay replay = warm(seed, SHORT_STORE_LOAD_MILLISECONDS);
      for (int[] shift : SHIFTS) {
        times.add(ordered(replay, shift));
      }
    }
    Collections.sort(times);
    assertTrue(times.get(times.size() * 3 / 4) <= FOLLOW_MILLISECONDS, times.toString());
  }

  @Test
  void requestsForRareModelsStartWithinTheirObjective() {
    for (long seed : SEEDS) {
      UnevenDemandReplay replay = warm(seed, SHORT_STORE_LOAD_MILLISECONDS);
      for (int[] shift : SHIFTS) {
        ordered(replay, shift);
      }
      assertTrue(replay.rareWait(1) <= RARE_OBJECTIVE_MILLISECONDS, "ms " + replay.rareWait(1));
    }
  }

  @Test
  void mostRequestsForRareModelsFindThemLoadedThoughLoadsTakeLongerThanTheObjective() {
    for (long seed : SEEDS) {
      UnevenDemandReplay replay = warm(seed, LONG_STORE_LOAD_MILLISECONDS);
      for (int[] shift : SHIFTS) {
        ordered(replay, shift);
      }
      assertTrue(replay.rareWait(0.9) <= RARE_OBJECTIVE_MILLISECONDS, "ms " + replay.rareWait(0.9));
      assertTrue(replay.rareWait(1) <= 2 * RARE_OBJECTIVE_MILLISECONDS, "ms " + replay.rareWait(1));
    }
  }

  @Test
  void steadyDemandOverloadsNoEngineThoughPacesAndSpeedsDiffer() {
    for (long seed : SEEDS) {
      UnevenDemandReplay replay = warm(seed, SHORT_STORE_LOAD_MILLISECONDS);
      double highest = replay.highestLevel();
      assertTrue(highest < 1, "seed " + seed + " level " + highest);
    }
  }

  @Test
  void requestsForRareModelsStartInTimeWhileNoRateIsLearned() {
    UnevenDemandReplay replay =
        new UnevenDemandReplay(1, SHORT_STORE_LOAD_MILLISECONDS, new DemandReplicaPolicy());
    replay.ratesAreLearned = false;
    replay.runUntil(WARM_UP_MILLISECONDS);
    replay.rareWaits.clear();
    replay.runUntil(2 * WARM_UP_MILLISECONDS);
    assertTrue(replay.rareWait(1) <= RARE_OBJECTIVE_MILLISECONDS, "ms " + replay.rareWait(1));
  }

  @Test
  void weightStoreGivesNoMoreLoadsThanItAllows() {
    UnevenDemandReplay replay = warm(1, SHORT_STORE_LOAD_MILLISECONDS);
    ordered(replay, SHIFTS[0]);
    TreeMap<Long, Integer> loads = new TreeMap<>(replay.storeLoadsAt);
    for (long start : loads.keySet()) {
      int inWindow =
          loads.subMap(start, start + CEILING_WINDOW_MILLISECONDS).values().stream()
              .mapToInt(Integer::intValue)
              .sum();
      assertTrue(
          inWindow <= STORE_LOADS_PER_SECOND * CEILING_WINDOW_MILLISECONDS / 1_000 * 1.1 + 3,
          "loads " + inWindow);
    }
  }

  @Test
  void modelIsLoadedElsewhereAfterEngineCrashesWhileLoadingIt() {
    UnevenDemandReplay replay = warm(3, SHORT_STORE_LOAD_MILLISECONDS);
    UnevenDemandReplay.Model risen = replay.shift(1).get(0);
    while (replay.orderedLevel(risen) > SUFFICIENT_LEVEL) {
      replay.step();
    }
    List<UnevenDemandReplay.Engine> loading =
        replay.engines.stream()
            .filter(each -> each.move != null && each.move.load().equals(risen.name()))
            .toList();
    assertFalse(loading.isEmpty());
    loading.forEach(engine -> replay.crash(engine, Long.MAX_VALUE));
    long crashedAt = replay.now;
    while (replay.orderedLevel(risen) > SUFFICIENT_LEVEL
        && replay.now < crashedAt + SHIFT_MILLISECONDS) {
      replay.step();
    }
    assertTrue(replay.now - crashedAt <= FOLLOW_MILLISECONDS, "ms " + (replay.now - crashedAt));
  }

  @Test
  void modelsStayServedWhileReportsOfSomeInstancesStop() {
    UnevenDemandReplay replay = warm(4, SHORT_STORE_LOAD_MILLISECONDS);
    replay.silentInstances.addAll(Set.of(0, 1));
    replay.runUntil(replay.now + SHIFT_MILLISECONDS);
    for (UnevenDemandReplay.Model model : replay.models) {
      if (model.engines() > 0 && !replay.isRare(model)) {
        assertTrue(!replay.holders(model.name()).isEmpty(), model.name() + " has no replica");
      }
    }
  }

  @Test
  void nothingMovesAfterAllReportsHaveStopped() {
    UnevenDemandReplay replay = warm(5, SHORT_STORE_LOAD_MILLISECONDS);
    replay.silentInstances.addAll(Set.of(0, 1, 2, 3, 4, 5));
    replay.runUntil(replay.now + SHIFT_MILLISECONDS);
    int moves = replay.moves.size();
    replay.runUntil(replay.now + SHIFT_MILLISECONDS);
    assertEquals(moves, replay.moves.size());
  }

  @Test
  void idleModelIsUnloadedBeforeOneThatIsAskedForNowAndThen() {
    ModelProfile wanted = new ModelProfile("wanted", 70_000, 1_500, 1_000, 700);
    ModelProfile rare = new ModelProfile("rare", 70_000, 1_500, 1_000, 700);
    ModelProfile idle = new ModelProfile("idle", 70_000, 1_500, 1_000, 700);
    EngineView engine =
        new EngineView(
            "one", "d", 145_000, 0, Set.of("rare", "idle"), Set.of(), Set.of("wanted"), true);
    Map<String, DemandTracker.Demand> demands =
        Map.of(
            "wanted", new DemandTracker.Demand(2_000, 1, 1, 0, 0, Map.of()),
            "rare", new DemandTracker.Demand(100, 0.05, 0, 0, 3_000, Map.of(), 0, 0.27));
    List<ReplicaMove> moves =
        new DemandReplicaPolicy().plan(List.of(engine), List.of(wanted, rare, idle), demands, 1);
    assertEquals(List.of("idle"), moves.get(0).unload());
  }
}
