package org.agatefield.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.agatefield.model.Priority;
import org.junit.jupiter.api.Test;

class DriverTest {
  private static final long STEP_NANOSECONDS = 5_000_000L;

  private static Measurement run(long seed) {
    UserProfile profile = UserProfile.named("consortium");
    return new Driver(profile, Scenario.STEADY, Variant.ours(), seed).run();
  }

  @Test
  void sameSeedGivesTheSameFiguresAndNoRefusalIsFalse() {
    Measurement first = run(3);
    Measurement second = run(3);
    assertTrue(first.requests > 0);
    assertEquals(first.requests, second.requests);
    assertEquals(first.attained, second.attained);
    assertEquals(first.linkBytes, second.linkBytes);
    assertEquals(0, first.falseRefusals);
  }

  @Test
  void answersTakeLongerInLargerBatch() {
    Runner runner = new Runner("runner", ServiceTimes.standard());
    assertTrue(answerNanoseconds(runner, 16) > answerNanoseconds(runner, 1));
  }

  private static long answerNanoseconds(Runner runner, int requests) {
    List<Integer> answered = new ArrayList<>();
    for (int number = 0; number < requests; number++) {
      runner.accept(work(answered));
    }
    long elapsed = 0;
    while (answered.size() < requests) {
      runner.step(STEP_NANOSECONDS);
      elapsed += STEP_NANOSECONDS;
    }
    return elapsed;
  }

  private static Work work(List<Integer> answered) {
    Arrival arrival =
        new Arrival(
            0, 0, "north", "model", "model", Priority.STANDARD, 100, 50, 60, List.of(1L, 2L));
    return new Work(
        arrival,
        new Work.Listener() {
          @Override
          public void firstToken() {
            // Only whole answers are counted.
          }

          @Override
          public void whole() {
            answered.add(1);
          }

          @Override
          public void failed() {
            throw new IllegalStateException("nothing fails here");
          }
        });
  }
}
