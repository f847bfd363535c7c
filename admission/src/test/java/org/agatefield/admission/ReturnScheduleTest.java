package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReturnScheduleTest {
  private static final long NOW = 1_000;

  @Test
  void callersComeBackInTheOrderOfTheirRefusalsSpreadOverTheDrain() {
    ReturnSchedule schedule = new ReturnSchedule();
    assertEquals(500, schedule.returnIn("target", 500, 10, NOW));
    assertEquals(600, schedule.returnIn("target", 500, 10, NOW));
    assertEquals(700, schedule.returnIn("target", 0, 10, NOW));
    assertEquals(500, schedule.returnIn("other", 500, 10, NOW));
  }

  @Test
  void returnsThatArePastDelayNobody() {
    ReturnSchedule schedule = new ReturnSchedule();
    schedule.returnIn("target", 500, 10, NOW);
    assertEquals(100, schedule.returnIn("target", 100, 10, NOW + 60_000));
  }

  @Test
  void noReturnIsFurtherOffThanTheMaximum() {
    ReturnSchedule schedule = new ReturnSchedule();
    for (int refused = 0; refused < 1_000; refused++) {
      long returnIn = schedule.returnIn("target", 0, 0.1, NOW);
      assertTrue(returnIn <= ReturnSchedule.MAXIMUM_MILLISECONDS);
    }
  }

  @Test
  void callersThatHaveSpentTimeAreRecognized() {
    ReturningCallers callers = new ReturningCallers();
    assertFalse(callers.hasReturned("route", 5_000, NOW));
    assertFalse(callers.hasReturned("route", 4_990, NOW));
    assertTrue(callers.hasReturned("route", 4_400, NOW));
    assertFalse(callers.hasReturned("other", 4_400, NOW));
  }

  @Test
  void longestWaitOfRouteIsForgottenAfterTwoWindows() {
    ReturningCallers callers = new ReturningCallers();
    callers.hasReturned("route", 60_000, NOW);
    assertTrue(callers.hasReturned("route", 5_000, NOW + 31_000));
    assertFalse(callers.hasReturned("route", 5_000, NOW + 100_000));
  }
}
