package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class QuotaBucketTest {
  private static final TokenRate RATE = new TokenRate(1_000, 3_000);

  /** A request for tokens after a pause. */
  record Step(long pauseMilliseconds, double tokens) {}

  private record Grant(long atMilliseconds, double tokens) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.longs().between(0, 900), Arbitraries.doubles().between(1, 2_800))
        .as(Step::new)
        .list()
        .ofMaxSize(120);
  }

  @Property(tries = 500, seed = "42")
  void grantsOverAnySpanStayWithinCapacityPlusEarnedTokens(@ForAll("steps") List<Step> steps) {
    QuotaBucket bucket = new QuotaBucket(RATE, 0);
    List<Grant> grants = new ArrayList<>();
    long now = 0;
    for (Step step : steps) {
      now += step.pauseMilliseconds();
      if (bucket.tryTake(step.tokens(), now)) {
        grants.add(new Grant(now, step.tokens()));
      }
    }
    for (int first = 0; first < grants.size(); first++) {
      double sum = 0;
      for (int last = first; last < grants.size(); last++) {
        sum += grants.get(last).tokens();
        double seconds =
            (grants.get(last).atMilliseconds() - grants.get(first).atMilliseconds()) / 1_000.0;
        assertTrue(sum <= RATE.capacity() + seconds * RATE.perSecond() + 1, sum + " tokens");
      }
    }
  }

  @Property(tries = 200, seed = "43")
  void fullBucketGrantsAllRequestsWithinItsRate(@ForAll("steps") List<Step> steps) {
    QuotaBucket bucket = new QuotaBucket(RATE, 0);
    long now = 10_000;
    for (Step step : steps) {
      now += (long) Math.ceil(step.tokens() / RATE.perSecond() * 1_000);
      assertTrue(bucket.tryTake(step.tokens(), now));
    }
  }

  @Test
  void newBucketIsEmpty() {
    assertFalse(new QuotaBucket(RATE, 500).tryTake(1, 500));
  }

  @Test
  void fullBucketGrantsRequestLargerThanItsCapacityInAdvance() {
    QuotaBucket bucket = new QuotaBucket(RATE, 0);
    assertTrue(bucket.tryTake(5_000, 10_000));
    assertFalse(bucket.tryTake(100, 12_000));
    assertTrue(bucket.tryTake(100, 12_200));
  }

  @Test
  void lowerRateTakesEffectAtOnce() {
    QuotaBucket bucket = new QuotaBucket(RATE, 0);
    bucket.setRate(new TokenRate(10, 200), 10_000);
    assertFalse(bucket.tryTake(201 + 100, 10_000) && bucket.tryTake(100, 10_000));
    assertEquals(200, new QuotaBucket(RATE, 0).lend(200, 10_000));
  }

  @Test
  void loanMovesTokensWithoutCreatingAny() {
    QuotaBucket lender = new QuotaBucket(RATE, 0);
    double lent = lender.lend(9_000, 10_000);
    assertEquals(RATE.capacity(), lent, 0.001);
    assertFalse(lender.tryTake(1, 10_000));
    QuotaBucket borrower = new QuotaBucket(RATE, 10_000);
    borrower.add(lent, 10_000);
    assertTrue(borrower.tryTake(lent, 10_000));
    assertFalse(borrower.tryTake(1, 10_000));
  }

  @Test
  void refundedTokensCanBeGrantedAgainUpToTheCapacity() {
    QuotaBucket bucket = new QuotaBucket(RATE, 0);
    assertTrue(bucket.tryTake(2_000, 2_000));
    bucket.refund(2_000, 2_000);
    assertTrue(bucket.tryTake(2_000, 2_000));
    bucket.refund(100_000, 2_000);
    assertEquals(RATE.capacity(), bucket.level(2_000), 0.001);
  }

  @Test
  void waitIsTheTimeUntilTheTokensAreEarned() {
    QuotaBucket bucket = new QuotaBucket(RATE, 0);
    assertEquals(500, bucket.millisecondsUntil(500, 0));
    assertTrue(bucket.tryTake(500, 500));
    assertEquals(0, bucket.millisecondsUntil(100, 600));
  }
}
