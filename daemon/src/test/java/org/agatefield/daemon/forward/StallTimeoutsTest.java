package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;
import org.agatefield.forwarding.WeightedService;
import org.junit.jupiter.api.Test;

class StallTimeoutsTest {
  private static final Route STREAM =
      new Route(
          "r",
          "h",
          "/",
          RouteKind.STREAM,
          5_000,
          1_000,
          250,
          0,
          2,
          true,
          false,
          List.of(new WeightedService("s", 1)));

  @Test
  void runnerThatStillSendsToOthersIsGivenMoreTime() {
    long busy = StallTimeouts.milliseconds(STREAM, false, 5_000, 100);
    long lost = StallTimeouts.milliseconds(STREAM, false, 5_000, 2_000);
    assertTrue(busy > lost, busy + " and " + lost);
  }

  @Test
  void lostRunnerLeavesTimeForAnotherAttempt() {
    assertTrue(StallTimeouts.milliseconds(STREAM, false, 5_000, 2_000) <= 2_500);
  }

  @Test
  void brokenPauseIsNoticedBeforeTheCallerLeaves() {
    assertTrue(StallTimeouts.milliseconds(STREAM, true, 5_000, 2_000) < 2_000);
  }
}
