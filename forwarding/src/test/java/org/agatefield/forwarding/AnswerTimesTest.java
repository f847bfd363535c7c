package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests which answer times of a route are remembered. */
class AnswerTimesTest {
  private final AnswerTimes times = new AnswerTimes();

  @Test
  void longestTimeOfEachRouteIsRemembered() {
    times.record("calls", 300, 100_000);
    times.record("calls", 200, 100_100);
    times.record("streams", 4_000, 100_200);
    assertEquals(OptionalLong.of(300), times.longestMilliseconds("calls", 100_300));
    assertEquals(OptionalLong.of(4_000), times.longestMilliseconds("streams", 100_300));
    assertEquals(OptionalLong.empty(), times.longestMilliseconds("other", 100_300));
  }

  @Test
  void timeIsForgottenAfterTwoWindows() {
    times.record("calls", 300, 100_000);
    times.record("calls", 200, 131_000);
    assertEquals(OptionalLong.of(300), times.longestMilliseconds("calls", 132_000));
    assertEquals(OptionalLong.of(200), times.longestMilliseconds("calls", 162_000));
    assertEquals(OptionalLong.empty(), times.longestMilliseconds("calls", 400_000));
  }
}
