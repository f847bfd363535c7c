package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RouteKind;
import org.agatefield.forwarding.WeightedService;
import org.junit.jupiter.api.Test;

class RequestTimingTest {
  private static final long ARRIVED_AT = 1_000;
  // Callers wait for the longest of two seconds, four objectives and eight pauses.
  private static final long WAIT_MILLISECONDS = 2_000;
  private static final long TIMEOUT_MILLISECONDS = 9_000;

  private static RequestTiming timing(OptionalLong callerMilliseconds) {
    Route route =
        new Route(
            "drafts",
            "host",
            "/",
            RouteKind.STREAM,
            TIMEOUT_MILLISECONDS,
            300,
            100,
            0,
            3,
            true,
            false,
            List.of(new WeightedService("scribe", 1)));
    return new RequestTiming(route, callerMilliseconds, ARRIVED_AT);
  }

  @Test
  void eachEventGivesTimeForTheNextOne() {
    RequestTiming timing = timing(OptionalLong.empty());
    assertEquals(ARRIVED_AT + WAIT_MILLISECONDS, timing.nextEventBy());
    timing.eventSent(2_500);
    timing.eventSent(4_000);
    assertEquals(4_000 + WAIT_MILLISECONDS, timing.nextEventBy());
    assertEquals(1_500, timing.firstEventMilliseconds());
  }

  @Test
  void noEventIsAwaitedBeyondTheDeadline() {
    RequestTiming timing = timing(OptionalLong.of(5_000));
    timing.eventSent(5_500);
    assertEquals(timing.deadline(), timing.nextEventBy());
    assertTrue(timing.deadline() < ARRIVED_AT + 5_000);
    assertFalse(timing.isInTime(timing.deadline()));
  }

  @Test
  void timeForPlanningCountsFromTheSearchForRunner() {
    RequestTiming timing = timing(OptionalLong.empty());
    long firstSearch = timing.plannedBy();
    timing.seeksRunner(ARRIVED_AT + 3_000);
    assertEquals(firstSearch + 3_000, timing.plannedBy());
  }

  @Test
  void requestWithoutEventHasNoTimeOfTheFirstOne() {
    assertEquals(-1, timing(OptionalLong.empty()).firstEventMilliseconds());
  }
}
