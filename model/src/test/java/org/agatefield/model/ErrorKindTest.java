package org.agatefield.model;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ErrorKindTest {
  @Property(seed = "1")
  void everyKindHasAnErrorStatus(@ForAll ErrorKind kind) {
    assertTrue(kind.httpStatus() >= 400 && kind.httpStatus() <= 599);
  }

  @Property(seed = "1")
  void kindsThatWereExecutedNeverAdviseRetryWithoutIdempotency(@ForAll ErrorKind kind) {
    if (kind.retryAdvice() == RetryAdvice.AFTER_DELAY) {
      assertNotEquals(RunState.YES, kind.runState());
    }
  }
}
