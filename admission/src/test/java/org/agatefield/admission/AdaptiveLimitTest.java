package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AdaptiveLimitTest {
  @Property(tries = 300, seed = "5005")
  void limitStaysBetweenItsBounds(
      @ForAll @Size(max = 300) List<@IntRange(max = 2) Integer> events,
      @ForAll @IntRange(max = 80) int count) {
    AdaptiveLimit limit = new AdaptiveLimit(2, 8, 64);
    for (int event : events) {
      if (event == 0) {
        limit.succeeded(count, count / 80.0);
      } else if (event == 1) {
        limit.rejected();
      } else {
        limit.reported(count, count);
      }
      assertTrue(limit.limit() >= 2 && limit.limit() <= 64);
    }
  }

  @Test
  void reportBetweenTwoBatchesDoesNotLowerTheLimitBelowRecentlyRunningRequests() {
    AdaptiveLimit limit = new AdaptiveLimit(1, 32, 1_024);
    limit.reported(16, 10);
    limit.reported(1, 25);
    assertEquals(16, limit.limit());
  }

  @Test
  void waitingRequestsLowerTheLimitToTheRunningRequests() {
    AdaptiveLimit limit = new AdaptiveLimit(1, 32, 1_024);
    limit.reported(16, 10);
    assertEquals(16, limit.limit());
  }

  @Test
  void limitFollowsLastingDeclineOfRunningRequests() {
    AdaptiveLimit limit = new AdaptiveLimit(1, 32, 1_024);
    limit.reported(16, 10);
    for (int report = 0; report < 100; report++) {
      limit.reported(4, 10);
    }
    assertEquals(4, limit.limit());
  }

  @Test
  void reportWithoutWaitingRequestsDoesNotChangeTheLimit() {
    AdaptiveLimit limit = new AdaptiveLimit(1, 32, 1_024);
    limit.reported(3, 0);
    assertEquals(32, limit.limit());
  }
}
