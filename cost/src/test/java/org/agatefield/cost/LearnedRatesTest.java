package org.agatefield.cost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.Observed;
import org.junit.jupiter.api.Test;

class LearnedRatesTest {
  private static final double TOKENS = 2_000;
  private static final int RUNNERS = 12;
  private static final double FAST_SPEED = 2.4;
  private static final double HEAVY_PACE = 0.06;
  private static final double LIGHT_PACE = 0.006;

  private final KnowledgeTable<RateSum> speeds = new KnowledgeTable<>(RateKind.RUNNER_SPEED);
  private final KnowledgeTable<RateSum> paces = new KnowledgeTable<>(RateKind.MODEL_PACE);
  private final LearnedRates rates = new LearnedRates(speeds, paces);

  @Test
  void equalLookingRequestsOfModelsTenTimesApartAreToldApart() {
    learn(rates, 400);
    double ratio = rates.millisecondsPerToken("heavy") / rates.millisecondsPerToken("light");
    assertEquals(HEAVY_PACE / LIGHT_PACE, ratio, 2.5);
  }

  @Test
  void fastThirdOfTheRunnersIsRecognisedWhicheverModelItServes() {
    learn(rates, 400);
    double ratio = rates.relativeSpeed("runner-0") / rates.relativeSpeed("runner-1");
    assertEquals(FAST_SPEED, ratio, 0.5);
  }

  @Test
  void modelIsPredictedOnRunnerThatHasNeverServedIt() {
    learn(rates, 400);
    for (int time = 0; time < 30; time++) {
      observe(rates, "new", "heavy", FAST_SPEED, HEAVY_PACE, 4_000 + 10L * time);
    }
    double predicted = TOKENS * rates.millisecondsPerToken("light") / rates.relativeSpeed("new");
    double real = TOKENS * LIGHT_PACE / FAST_SPEED;
    assertEquals(1, predicted / real, 0.35);
  }

  @Test
  void newProcessBeginsWithWhatItsPeersHaveLearned() {
    learn(rates, 400);
    KnowledgeTable<RateSum> newSpeeds = new KnowledgeTable<>(RateKind.RUNNER_SPEED);
    KnowledgeTable<RateSum> newPaces = new KnowledgeTable<>(RateKind.MODEL_PACE);
    LearnedRates restarted = new LearnedRates(newSpeeds, newPaces);
    long now = 4_000;
    tell(speeds, newSpeeds, now);
    tell(paces, newPaces, now);
    restarted.refresh(now);
    double speedRatio = restarted.relativeSpeed("runner-0") / restarted.relativeSpeed("runner-1");
    assertTrue(speedRatio > 1.6, "speed ratio " + speedRatio);
    double paceRatio =
        restarted.millisecondsPerToken("heavy") / restarted.millisecondsPerToken("light");
    assertTrue(paceRatio > 4, "pace ratio " + paceRatio);
  }

  @Test
  void peerThatLiesShiftsAnOwnEstimateByTwoAtMost() {
    learn(rates, 400);
    double before = rates.relativeSpeed("runner-1");
    RateSum lie = RateKind.RUNNER_SPEED.decode(List.of(Long.MAX_VALUE, Long.MAX_VALUE)).get();
    speeds.receive("liar", "runner-1", new Observed<>(lie, 4_000), 4_000);
    rates.refresh(4_000);
    double after = rates.relativeSpeed("runner-1");
    assertTrue(after / before <= 2.05, "from " + before + " to " + after);
  }

  @Test
  void singleOutlierHardlyShiftsAnEstimate() {
    for (int time = 0; time < 40; time++) {
      observe(rates, "r", "m", 1, HEAVY_PACE, 10L * time);
    }
    double before = rates.millisecondsPerToken("m");
    rates.observe("r", "m", 100, 100, 1, 500);
    assertEquals(1, rates.millisecondsPerToken("m") / before, 0.1);
  }

  @Test
  void runnerThatHasBecomeFasterIsRecognisedSoon() {
    learn(rates, 1_200);
    double before = rates.relativeSpeed("runner-1");
    for (int time = 0; time < 30; time++) {
      observe(rates, "runner-1", "heavy", FAST_SPEED, HEAVY_PACE, 100_000 + 500L * time);
    }
    assertTrue(rates.relativeSpeed("runner-1") > 1.6 * before);
  }

  @Property(tries = 200, seed = "42")
  void estimatesStayInRangeWhateverIsObservedAndTold(
      @ForAll @Size(max = 30) List<@DoubleRange(min = 0, max = 1e12) Double> times,
      @ForAll long weight,
      @ForAll long mean) {
    KnowledgeTable<RateSum> toldSpeeds = new KnowledgeTable<>(RateKind.RUNNER_SPEED);
    LearnedRates estimated =
        new LearnedRates(toldSpeeds, new KnowledgeTable<>(RateKind.MODEL_PACE));
    Optional<RateSum> told = RateKind.RUNNER_SPEED.decode(List.of(weight, mean));
    told.ifPresent(sum -> toldSpeeds.receive("peer", "r", new Observed<>(sum, 0), 0));
    estimated.refresh(0);
    long now = 0;
    for (double time : times) {
      estimated.observe("r", "m", 100, 100, time, now++);
    }
    assertTrue(estimated.relativeSpeed("r") >= 0.16 && estimated.relativeSpeed("r") <= 6.1);
    double pace = estimated.millisecondsPerToken("m");
    assertTrue(pace >= 0.0019 && pace <= 2.1, "pace " + pace);
  }

  @Property(tries = 200, seed = "42")
  void toldSumsCombineInAnyOrder(
      @ForAll @LongRange(min = 1, max = 1_000_000) long first,
      @ForAll @LongRange(min = 1, max = 1_000_000) long second,
      @ForAll @LongRange(min = -5_000, max = 5_000) long mean) {
    RateSum one = RateKind.RUNNER_SPEED.decode(List.of(first, mean)).orElseThrow();
    RateSum two = RateKind.RUNNER_SPEED.decode(List.of(second, -mean)).orElseThrow();
    assertEquals(one.plus(two).meanLogarithm(), two.plus(one).meanLogarithm(), 1e-9);
  }

  /** Lets every runner serve both models, with times that vary by a fifth. */
  private static void learn(LearnedRates learner, int requests) {
    Random random = new Random(7);
    for (int number = 0; number < requests; number++) {
      int runner = number % RUNNERS;
      boolean light = random.nextBoolean();
      double speed = runner % 3 == 0 ? FAST_SPEED : 1;
      double pace = (light ? LIGHT_PACE : HEAVY_PACE) * (0.9 + 0.2 * random.nextDouble());
      observe(learner, "runner-" + runner, light ? "light" : "heavy", speed, pace, 10L * number);
    }
  }

  private static void observe(
      LearnedRates learner, String runner, String model, double speed, double pace, long now) {
    double work = TOKENS * learner.millisecondsPerToken(model);
    learner.observe(runner, model, work, work, TOKENS * pace / speed, now);
  }

  private static void tell(
      KnowledgeTable<RateSum> from, KnowledgeTable<RateSum> to, long nowMilliseconds) {
    from.select(List.of(), 0, Integer.MAX_VALUE, nowMilliseconds)
        .facts()
        .forEach(
            (subject, sum) -> {
              RateKind kind = (RateKind) from.kind();
              RateSum received = kind.decode(kind.encode(sum.value())).orElseThrow();
              to.receive(
                  "peer", subject, new Observed<>(received, sum.atMilliseconds()), nowMilliseconds);
            });
  }
}
