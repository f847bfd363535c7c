package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryDelayTest {
  @Test
  void callersOfMissingModelRetryWhenItIsExpected() {
    assertEquals(2_700, RetryDelay.milliseconds(RefusalReason.MODEL_ABSENT, 2_700));
  }

  @Test
  void callersOfBusyModelWaitLongerThanCallersOfLeavingInstance() {
    long busy = RetryDelay.milliseconds(RefusalReason.OVERLOADED, 0);
    long leaving = RetryDelay.milliseconds(RefusalReason.SHUTTING_DOWN, 0);
    assertTrue(busy > leaving);
  }
}
