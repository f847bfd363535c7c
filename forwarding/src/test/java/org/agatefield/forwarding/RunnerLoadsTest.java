package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatefield.cost.LearnedRates;
import org.agatefield.forwarding.GenerationParameters.PromptPart;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class RunnerLoadsTest {
  private static final GenerationParameters PROMPT =
      new GenerationParameters(
          "m",
          Optional.empty(),
          1_000,
          80,
          List.of(new PromptPart("a", 300), new PromptPart("b", 200), new PromptPart("own", 500)));

  private static final SharedParts PARTS = SharedParts.of(PROMPT);

  private final RunnerLoads loads = new RunnerLoads(LearnedRates.unshared());

  @Test
  void reportsOfNeighboursCountUntilTheyExpire() {
    loads.sent("r", 100);
    loads.updateNeighbour("n", Map.of("r", new RunnerLoads.Load(2, 700)), 0);
    assertEquals(new RunnerLoads.Load(3, 800), loads.total("r", 500));
    long expired = RunnerLoads.MAXIMUM_NEIGHBOUR_AGE_MILLISECONDS + 1;
    assertEquals(new RunnerLoads.Load(1, 100), loads.total("r", expired));
  }

  @Test
  void ownCountsReturnToZero() {
    loads.sent("r", 100);
    loads.prefillEnded("r", 100);
    loads.ended("r");
    assertEquals(new RunnerLoads.Load(0, 0), loads.total("r", 0));
    assertTrue(loads.ownLoads().isEmpty());
  }

  @Test
  void cachedSharedPartsNeedNoPrefill() {
    assertEquals(1_000, loads.uncachedTokens("r", PARTS));
    loads.recordCachedParts("r", PARTS);
    assertEquals(500, loads.uncachedTokens("r", PARTS));
    loads.processEnded("r");
    assertEquals(1_000, loads.uncachedTokens("r", PARTS));
  }

  @Test
  void chooserComparesPendingPrefillTokensInsteadOfRequestCounts() {
    RunnerCandidate fewLarge =
        new RunnerCandidate("large", Distance.SAME_DOMAIN, 2, 96, 14_000, 0.06, 0, 500, true);
    RunnerCandidate manySmall =
        new RunnerCandidate("small", Distance.SAME_DOMAIN, 6, 96, 1_200, 0.06, 0, 500, true);
    List<RunnerCandidate> candidates = List.of(fewLarge, manySmall);
    assertEquals(
        "small",
        new EarliestStartChooser(RandomSource.XO_RO_SHI_RO_128_PP.create(5L))
            .choose(candidates)
            .orElseThrow()
            .id());
    assertEquals("large", new FewestRunningChooser().choose(candidates).orElseThrow().id());
  }

  @Test
  void nearbyRunnerIsPreferredUnlessItStartsMuchLater() {
    RunnerCandidate near =
        new RunnerCandidate("near", Distance.SAME_DOMAIN, 1, 96, 1_000, 0.06, 0, 500, true);
    RunnerCandidate far =
        new RunnerCandidate("far", Distance.OTHER_REGION, 0, 96, 0, 0.06, 0, 500, true);
    assertEquals(
        "near",
        new EarliestStartChooser(RandomSource.XO_RO_SHI_RO_128_PP.create(5L))
            .choose(List.of(near, far))
            .orElseThrow()
            .id());
  }

  @Test
  void loadsWithAddsOnlyRecentReportsOfTheGivenNeighbours() {
    RunnerLoads loads = new RunnerLoads(LearnedRates.unshared());
    loads.sent("r", 100);
    loads.updateNeighbour("near", Map.of("r", new RunnerLoads.Load(2, 700)), 5_000);
    loads.updateNeighbour("silent", Map.of("r", new RunnerLoads.Load(9, 900)), 1_000);
    loads.updateNeighbour("domain/other", Map.of("r", new RunnerLoads.Load(5, 500)), 5_000);
    assertEquals(
        Map.of("r", new RunnerLoads.Load(3, 800)),
        loads.loadsWith(List.of("near", "silent"), 5_100));
  }

  @Test
  void workThatNeighboursReportedIsWorkedOffWithItsAge() {
    loads.updateNeighbour("n", Map.of("r", new RunnerLoads.Load(4, 4_000)), 0);
    double fresh = loads.neighbours("r", 0).pendingTokens();
    double older = loads.neighbours("r", 100).pendingTokens();
    double old = loads.neighbours("r", 400).pendingTokens();
    assertTrue(fresh > older + 1_000, fresh + " and " + older);
    assertEquals(0, old);
    assertEquals(4, loads.neighbours("r", 400).running());
  }

  @Test
  void workThatKeepsArrivingIsExpectedToGoOn() {
    for (int period = 0; period < 20; period++) {
      loads.updateNeighbour("n", Map.of("r", new RunnerLoads.Load(9, 6_000)), 240L * period);
    }
    long last = 240L * 19;
    assertTrue(loads.neighbours("r", last + 300).pendingTokens() > 4_000);
  }
}
