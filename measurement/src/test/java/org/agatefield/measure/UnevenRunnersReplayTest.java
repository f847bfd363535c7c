package org.agatefield.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.agatefield.measure.UnevenRunnersReplay.Outcome;
import org.agatefield.measure.UnevenRunnersReplay.Policy;
import org.junit.jupiter.api.Test;

class UnevenRunnersReplayTest {
  private static final double ORDINARY_LOAD = 0.45;
  private static final double HIGH_LOAD = 0.8;
  private static final long SEED = 1;

  @Test
  void drawByCostSpreadsWorkBetterThanTheEarliestStart() {
    Outcome earliest = run(Policy.EARLIEST_START, ORDINARY_LOAD);
    Outcome drawn = run(Policy.LIKELY_BEST, ORDINARY_LOAD);
    assertTrue(drawn.busiestToMean() < earliest.busiestToMean(), earliest + " and " + drawn);
    assertTrue(drawn.lateMilliseconds() < earliest.lateMilliseconds(), earliest + " and " + drawn);
  }

  @Test
  void drawByCostServesMoreInTimeThanAlwaysTheBestWhenWavesExceedTheCapacity() {
    Outcome best = run(Policy.BEST, HIGH_LOAD);
    Outcome drawn = run(Policy.LIKELY_BEST, HIGH_LOAD);
    assertTrue(drawn.inAimShare() > best.inAimShare() + 0.1, best + " and " + drawn);
  }

  @Test
  void sameSeedGivesTheSameOutcome() {
    assertEquals(run(Policy.TWO_CHOICES, ORDINARY_LOAD), run(Policy.TWO_CHOICES, ORDINARY_LOAD));
  }

  private static Outcome run(Policy policy, double load) {
    return new UnevenRunnersReplay(policy, load, SEED).run();
  }
}
