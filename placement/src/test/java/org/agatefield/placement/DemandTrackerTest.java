package org.agatefield.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.agatefield.model.ModelDemand;
import org.junit.jupiter.api.Test;

class DemandTrackerTest {
  private static final long REPORT_MILLISECONDS = 240;
  private static final int TOKENS = 2_000;

  private final DemandTracker tracker = new DemandTracker();
  private long now;

  private void report(int requests, long milliseconds) {
    long end = now + milliseconds;
    while (now < end) {
      now += REPORT_MILLISECONDS;
      tracker.record(
          "one",
          List.of(
              new ModelDemand(
                  "s",
                  "m",
                  (long) requests * TOKENS,
                  requests,
                  0,
                  0,
                  0,
                  Map.of(),
                  requests * 100L)),
          now);
    }
  }

  private DemandTracker.Demand demand() {
    return tracker.demands(now).get("m");
  }

  @Test
  void rateThatRisesTenfoldShowsWithinHalfSecond() {
    report(1, 6_000);
    report(10, 480);
    double perSecond = 10 * 1_000.0 / REPORT_MILLISECONDS;
    assertTrue(
        demand().requestsPerSecond() > perSecond / 2, "rate " + demand().requestsPerSecond());
  }

  @Test
  void demandThatEndsIsForgottenWithinSecond() {
    report(10, 6_000);
    report(0, 960);
    double before = 10 * 1_000.0 / REPORT_MILLISECONDS;
    assertTrue(demand().requestsPerSecond() < before / 5, "rate " + demand().requestsPerSecond());
  }

  @Test
  void steadyRateIsNotTakenForShift() {
    report(10, 12_000);
    double rate = 10 * 1_000.0 / REPORT_MILLISECONDS;
    assertEquals(rate, demand().requestsPerSecond(), rate / 5);
    assertEquals(rate * 100, demand().outputTokensPerSecond(), rate * 100 / 5);
  }

  @Test
  void singleRequestAfterPauseDoesNotLookLikeManyForLong() {
    report(0, 10_000);
    report(1, REPORT_MILLISECONDS);
    report(0, 960);
    assertTrue(demand().requestsPerSecond() < 1, "rate " + demand().requestsPerSecond());
  }

  @Test
  void usualRateOutlastsPauseOfRareModel() {
    report(1, 30_000);
    report(0, 5_000);
    assertTrue(demand().usualRequestsPerSecond() > 1);
    assertTrue(demand().requestsPerSecond() < 1);
  }
}
