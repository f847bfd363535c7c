package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private static int retriesGranted(RetryPolicy policy, List<Boolean> attempts) {
    int granted = 0;
    for (boolean first : attempts) {
      if (first) {
        policy.firstAttempt();
      } else if (policy.mayRetry()) {
        granted++;
      }
    }
    return granted;
  }

  @Property(tries = 500, seed = "5003")
  void retriesStayWithinTheShareAndTheReserve(
      @ForAll @Size(max = 300) List<Boolean> attempts,
      @ForAll @DoubleRange(max = 1) double share,
      @ForAll @IntRange(max = 20) int reserve) {
    long firstAttempts = attempts.stream().filter(first -> first).count();
    int granted = retriesGranted(new RetryBudget(share, reserve), attempts);
    assertTrue(granted <= reserve + share * firstAttempts + 1e-9);
  }

  @Test
  void unlimitedPolicyAllowsEveryRetry() {
    List<Boolean> attempts = List.of(true, false, false, false);
    assertTrue(retriesGranted(new UnlimitedRetries(), attempts) > 1);
  }
}
