package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WorkEstimatesTest {
  private static final Map<String, Double> WEIGHTS =
      Map.of("one", 34_300.0, "two", 34_300.0, "three", 68_600.0);

  private final Map<String, Double> learned = new HashMap<>();
  private final Map<String, Double> speeds = new HashMap<>();

  private WorkEstimates estimates() {
    WorkRates rates =
        new WorkRates() {
          @Override
          public double millisecondsPerToken(String model) {
            return learned.getOrDefault(model, 0.0);
          }

          @Override
          public double relativeSpeed(String runner) {
            return speeds.getOrDefault(runner, 1.0);
          }
        };
    return new WorkEstimates(rates, WEIGHTS);
  }

  @Test
  void nominalRateAppliesWhileNothingIsLearned() {
    TokenWork work = estimates().of("one", 34_300);
    assertEquals(1_000.0 / 13_000, work.promptMilliseconds(), 1e-9);
    assertEquals(0, work.outputMilliseconds());
  }

  @Test
  void unknownModelIsEstimatedInProportionToTheLearnedOnes() {
    learned.put("one", 1_000.0 / 13_000 / 3);
    double planned = learned.get("one") / TokenWork.USABLE_SHARE;
    assertEquals(2 * planned, estimates().of("three", 68_600).promptMilliseconds(), 1e-9);
  }

  @Test
  void learnedRatesOfModelsOfOneSizeDiffer() {
    learned.put("one", 0.02);
    learned.put("two", 0.08);
    double share = TokenWork.USABLE_SHARE;
    assertEquals(0.02 / share, estimates().of("one", 34_300).promptMilliseconds(), 1e-9);
    assertEquals(0.08 / share, estimates().of("two", 34_300).promptMilliseconds(), 1e-9);
  }

  @Test
  void faultyRatesAreIgnored() {
    learned.put("one", Double.NaN);
    learned.put("two", -1.0);
    speeds.put("a", 0.0);
    speeds.put("b", Double.POSITIVE_INFINITY);
    speeds.put("c", 1e9);
    assertEquals(1_000.0 / 13_000, estimates().of("one", 34_300).promptMilliseconds(), 1e-9);
    assertEquals(1, estimates().speed("a"));
    assertEquals(1, estimates().speed("b"));
    assertEquals(10, estimates().speed("c"));
  }

  @Test
  void loadIsSpreadInProportionToSpeed() {
    LoadDistribution distribution =
        new LoadDistribution(new double[] {1, 2.4}, new double[] {1.7}, List.of(List.of(0, 1)));
    assertEquals(0.5, distribution.level(0), 1e-9);
    assertEquals(0.5, distribution.level(1), 1e-9);
  }

  @Test
  void replicaGoesToTheFastEngineOfTwoWithEqualLoad() {
    ModelProfile model = new ModelProfile("m", 34_300, 1_500, 1_000, 700);
    Map<String, DemandTracker.Demand> demands =
        Map.of("m", new DemandTracker.Demand(26_000, 13, 3, 0, 0, Map.of()));
    List<EngineView> engines = List.of(engine("slow", 1), engine("fast", 2.4));
    List<ReplicaMove> moves = new DemandReplicaPolicy().plan(engines, List.of(model), demands, 4);
    assertEquals("fast", moves.get(0).runner());
  }

  private static EngineView engine(String id, double speed) {
    return new EngineView(
        id,
        "d",
        80_000,
        0,
        Set.of(),
        Set.of(),
        java.util.OptionalDouble.empty(),
        Set.of(),
        Set.of(),
        true,
        speed);
  }
}
