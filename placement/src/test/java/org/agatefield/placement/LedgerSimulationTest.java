package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Requirement REQ-MEMORY: accelerator memory is never overcommitted, even during a change. */
class LedgerSimulationTest {
  private static final int SEEDS = 30;
  private static final int SEEDS_PER_MECHANISM = 150;

  @Property(tries = 200, seed = "42")
  void memoryIsNeverOvercommittedWhileEnginesRestart(@ForAll long seed) {
    assertEquals(List.of(), new LedgerSimulation(seed, Set.of(), true).run().overcommits());
  }

  @Property(tries = 200, seed = "43")
  void configuredVersionThatServedOnceAlwaysServesUnlessEnginesFail(@ForAll long seed) {
    LedgerSimulation run = new LedgerSimulation(seed, Set.of(), false).run();
    assertEquals(List.of(), run.overcommits());
    assertEquals(List.of(), run.lostVersions());
  }

  @Test
  void simulationsContainMovesReleasesAndLateOrders() {
    long moves = 0;
    long releases = 0;
    long lateLoads = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      LedgerSimulation run = new LedgerSimulation(seed, Set.of(), true).run();
      moves += run.moves();
      releases += run.releases();
      lateLoads += run.lateLoads();
    }
    assertTrue(moves > SEEDS && releases > SEEDS && lateLoads > 0);
  }

  @ParameterizedTest
  @EnumSource(Mechanism.class)
  void switchingOffAnyOneMechanismMakesSomeRunFail(Mechanism mechanism) {
    boolean failed =
        LongStream.range(0, SEEDS_PER_MECHANISM)
            .anyMatch(seed -> fails(seed, EnumSet.of(mechanism)));
    assertTrue(failed, mechanism + ": no run fails without it");
  }

  private static boolean fails(long seed, Set<Mechanism> off) {
    LedgerSimulation run = new LedgerSimulation(seed, off, false).run();
    return !run.overcommits().isEmpty() || !run.lostVersions().isEmpty();
  }
}
