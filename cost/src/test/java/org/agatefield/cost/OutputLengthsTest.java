package org.agatefield.cost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class OutputLengthsTest {
  private static final int MAXIMUM = 1_000;

  private final OutputLengths lengths = new OutputLengths();

  @Test
  void hintsOfAnAccountThatAreOffByTheSameFactorAreCorrected() {
    Random random = new Random(3);
    for (int number = 0; number < 200; number++) {
      int tokens = 20 + random.nextInt(200);
      lengths.observe(shape("right", OptionalInt.of(tokens)), tokens);
      lengths.observe(shape("right", OptionalInt.of(tokens)), tokens);
      lengths.observe(shape("right", OptionalInt.of(tokens)), tokens);
      lengths.observe(shape("exaggerating", OptionalInt.of(4 * tokens)), tokens);
    }
    double estimate = lengths.estimate(shape("exaggerating", OptionalInt.of(400))).tokens();
    double worth = estimate / lengths.tokens(100);
    assertTrue(worth > 0.6 && worth < 1.6, "worth " + worth);
  }

  @Test
  void wrongHintHardlyCountsWhereHintsHaveBeenWorthless() {
    Random random = new Random(3);
    for (int number = 0; number < 300; number++) {
      int guess = (int) (100 * Math.exp(2 * random.nextGaussian()));
      lengths.observe(shape("guessing", OptionalInt.of(Math.max(1, guess))), 100);
    }
    double high = lengths.estimate(shape("guessing", OptionalInt.of(1_000))).tokens();
    double low = lengths.estimate(shape("guessing", OptionalInt.of(10))).tokens();
    assertTrue(high / low < 2, "a hint a hundred times as high gives " + high / low);
  }

  @Test
  void hintsThatPredictCountMoreThanSimilarRequests() {
    Random random = new Random(3);
    for (int number = 0; number < 300; number++) {
      int tokens = (int) (100 * Math.exp(random.nextGaussian()));
      lengths.observe(shape("exact", OptionalInt.of(Math.max(1, tokens))), Math.max(1, tokens));
    }
    double high = lengths.estimate(shape("exact", OptionalInt.of(400))).tokens();
    double low = lengths.estimate(shape("exact", OptionalInt.of(40))).tokens();
    assertTrue(high / low > 7, "a hint ten times as high gives " + high / low);
  }

  @Test
  void eventsThatHoldSeveralTokensAreCountedAsTokens() {
    for (int number = 0; number < 50; number++) {
      lengths.observe(shape("account", OptionalInt.of(32)), 8);
    }
    assertEquals(32, lengths.tokens(8), 1);
    assertEquals(32, lengths.estimate(shape("account", OptionalInt.of(32))).tokens(), 2);
  }

  @Test
  void similarRequestsTellWithoutHints() {
    for (int number = 0; number < 50; number++) {
      lengths.observe(shape("account", OptionalInt.empty()), 60);
    }
    OutputEstimate estimate = lengths.estimate(shape("account", OptionalInt.empty()));
    assertEquals(60, estimate.tokens(), 2);
    assertTrue(estimate.spread() < 1.5, "spread " + estimate.spread());
  }

  @Property(tries = 200, seed = "42")
  void estimateLiesBetweenOneTokenAndTheMaximum(
      @ForAll @Size(max = 40) List<@IntRange(min = -5, max = Integer.MAX_VALUE) Integer> events,
      @ForAll @IntRange(min = 1, max = Integer.MAX_VALUE) int hint) {
    OutputLengths learned = new OutputLengths();
    for (int each : events) {
      learned.observe(shape("account", OptionalInt.of(hint)), each);
    }
    OutputEstimate estimate = learned.estimate(shape("account", OptionalInt.of(hint)));
    assertTrue(estimate.tokens() >= 1 && estimate.tokens() <= MAXIMUM);
    assertTrue(estimate.spread() >= 1 && Double.isFinite(estimate.spread()));
  }

  private static RequestShape shape(String account, OptionalInt hint) {
    return new RequestShape("route", "model", account, 2_000, MAXIMUM, hint);
  }
}
