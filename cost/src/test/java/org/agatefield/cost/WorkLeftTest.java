package org.agatefield.cost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class WorkLeftTest {
  private static final AttemptWork.Expectation EXPECTATION =
      new AttemptWork.Expectation(100, 100, 140, 30, 2_000, 2_000);

  private final WorkLeft left = new WorkLeft();

  @Test
  void runnerThatIsSlowedForMomentsShowsByFirstEventsUnderWay() {
    left.started("slow", EXPECTATION, 0);
    assertEquals(0, left.overdueMilliseconds("slow", 150));
    // Slowed 2.5 times, the first event is due after 350 ms.
    assertTrue(left.overdueMilliseconds("slow", 340) > 80);
  }

  @Test
  void slownessIsKnownAfterOneLateFirstEventAndFades() {
    AttemptWork attempt = left.started("slow", EXPECTATION, 0);
    left.firstEvent(attempt, 600);
    left.ended(attempt);
    assertTrue(left.slowness("slow", 600) > 1.4);
    assertTrue(left.slowness("slow", 3_000) < 1.05);
    assertEquals(1, left.slowness("other", 600));
  }

  @Test
  void instanceThatIsBehindDoesNotTakeItsOwnDelayForSlownessOfRunners() {
    left.instanceDelayed(150);
    AttemptWork attempt = left.started("r", EXPECTATION, 0);
    assertEquals(0, left.overdueMilliseconds("r", 600));
    left.firstEvent(attempt, 600);
    assertEquals(1, left.slowness("r", 600));
  }

  @Test
  void outputCountsByWhatIsLeftToWrite() {
    AttemptWork attempt = left.started("r", EXPECTATION, 0);
    double atFirst = left.writing("r", 0);
    left.firstEvent(attempt, 100);
    assertTrue(left.writing("r", 350) < atFirst / 2);
  }

  @Test
  void memoryCountsFromTheTimeThatIsAsked() {
    left.started("r", EXPECTATION, 100);
    left.started("r", EXPECTATION, 300);
    assertEquals(2_000, left.memoryTokensSince("r", 200));
    assertEquals(4_000, left.memoryTokensSince("r", 0));
  }

  @Test
  void attemptEndsOnce() {
    AttemptWork attempt = left.started("r", EXPECTATION, 0);
    assertTrue(left.ended(attempt));
    assertFalse(left.ended(attempt));
    assertFalse(left.firstEvent(attempt, 10));
  }

  @Property(tries = 200, seed = "42")
  void nothingIsLeftWhenAllAttemptsHaveEnded(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 11) Integer> steps) {
    WorkLeft work = new WorkLeft();
    List<AttemptWork> attempts = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += 50;
      if (step < 4 || attempts.isEmpty()) {
        attempts.add(work.started("r" + step % 3, EXPECTATION, now));
      } else if (step < 8) {
        work.firstEvent(attempts.get(step % attempts.size()), now);
      } else {
        work.ended(attempts.get(step % attempts.size()));
      }
    }
    attempts.forEach(work::ended);
    for (int runner = 0; runner < 3; runner++) {
      String id = "r" + runner;
      assertEquals(0, work.attempts(id));
      assertEquals(0, work.writing(id, now));
      assertEquals(0, work.overdueMilliseconds(id, now + 10_000));
      assertEquals(0, work.memoryTokensSince(id, Long.MIN_VALUE));
      assertEquals(1, work.slowness(id, now + 20_000), 1e-6);
    }
  }
}
