package org.agatefield.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.agatefield.model.Priority;
import org.junit.jupiter.api.Test;

/** Tests that runs are deterministic and that the simulated runner slows down with its batch. */
class DriverTest {
  private static final long STEP_NANOSECONDS = 5_000_000L;

  private static Measurement run(long seed) {
    UserProfile profile = UserProfile.named("consortium");
    return new Driver(profile, Scenario.STEADY, Variant.production(), seed).run();
  }

  @Test
  void sameSeedGivesSameResultsWithoutFalseRefusals() {
    Measurement first = run(3);
    Measurement second = run(3);
    assertTrue(first.requests > 0);
    assertEquals(first.requests, second.requests);
    assertEquals(first.attained, second.attained);
    assertEquals(first.linkBytes, second.linkBytes);
    assertEquals(0, first.falseRefusals);
  }

  @Test
  void answersTakeLongerInLargerBatches() {
    Runner runner = new Runner("runner", ServiceTimes.standard());
    assertTrue(answerNanoseconds(runner, 16) > answerNanoseconds(runner, 1));
  }

  private static long answerNanoseconds(Runner runner, int requests) {
    List<Integer> answered = new ArrayList<>();
    for (int number = 0; number < requests; number++) {
      runner.accept(attempt(answered));
    }
    long elapsed = 0;
    while (answered.size() < requests) {
      runner.step(STEP_NANOSECONDS);
      elapsed += STEP_NANOSECONDS;
    }
    return elapsed;
  }

  private static RunnerAttempt attempt(List<Integer> answered) {
    Arrival arrival =
        new Arrival(
            0, 0, "north", "model", "model", Priority.STANDARD, 100, 50, 60, List.of(1L, 2L));
    return new RunnerAttempt(
        arrival,
        new RunnerAttempt.Listener() {
          @Override
          public void firstToken() {
            // Only complete answers are counted.
          }

          @Override
          public void completed() {
            answered.add(1);
          }

          @Override
          public void failed() {
            throw new IllegalStateException("unexpected failure of a runner attempt");
          }
        });
  }
}
