package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventLoopDelayTest {
  private static final long PERIOD = 120;

  private final EventLoopDelay delay = new EventLoopDelay();

  private void fire(long now) {
    delay.timerFired(now);
    delay.timerScheduled(now + PERIOD);
  }

  @Test
  void bytesReadOnTimeCountAsJustArrived() {
    delay.timerScheduled(PERIOD);
    fire(PERIOD);
    fire(2 * PERIOD + EventLoopDelay.TOLERATED_MILLISECONDS);
    assertEquals(400, delay.earliestArrival(400));
    assertFalse(delay.isBehind(400));
  }

  @Test
  void bytesReadBeforeAnOverdueTimerMayHaveArrivedWhenItWasDue() {
    delay.timerScheduled(PERIOD);
    assertTrue(delay.isBehind(2_000));
    assertEquals(PERIOD, delay.earliestArrival(2_000));
  }

  @Test
  void connectionsOpenedAfterTheStallMayCarryBytesFromBeforeIt() {
    delay.timerScheduled(PERIOD);
    fire(2_000);
    assertEquals(PERIOD, delay.earliestArrival(2_050));
    fire(2_120);
    assertEquals(PERIOD, delay.earliestArrival(2_150));
    fire(2_240);
    assertEquals(2_250, delay.earliestArrival(2_250));
  }

  @Test
  void permanentOverloadAddsAtMostTwoFiringsToTheAgeOfRequests() {
    delay.timerScheduled(PERIOD);
    long now = 0;
    for (int firing = 0; firing < 50; firing++) {
      now += PERIOD + 300;
      fire(now);
    }
    assertTrue(now - delay.earliestArrival(now) <= 2 * (PERIOD + 300));
  }
}
