package org.agatefield.cost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.agatefield.cost.TokenRoom.Room;
import org.junit.jupiter.api.Test;

class TokenRoomTest {
  private static final double TOTAL = 100_000;

  @Test
  void twoInstancesWithTheSameViewDoNotFillTheSameRoom() {
    TokenRoom.View view = new TokenRoom.View(TOTAL, 90_000, 0, 0, 0);
    int largest = 0;
    for (int tokens = 0; tokens <= 10_000; tokens += 100) {
      if (TokenRoom.judge(view, tokens, tokens) == Room.FREE) {
        largest = tokens;
      }
    }
    assertTrue(largest > 0 && 90_000 + 2 * largest <= TOTAL, "largest " + largest);
  }

  @Test
  void oldViewLeavesMoreMemoryToOthers() {
    assertEquals(
        Room.FREE, TokenRoom.judge(new TokenRoom.View(TOTAL, 88_000, 200, 0, 0), 3_500, 3_700));
    assertEquals(
        Room.FULL, TokenRoom.judge(new TokenRoom.View(TOTAL, 88_000, 3_000, 0, 0), 3_500, 3_700));
  }

  @Test
  void requestsSentSinceTheViewCount() {
    assertEquals(
        Room.FULL, TokenRoom.judge(new TokenRoom.View(TOTAL, 80_000, 0, 14_000, 0), 2_000, 2_400));
    assertEquals(
        Room.FULL, TokenRoom.judge(new TokenRoom.View(TOTAL, 80_000, 0, 0, 14_000), 2_000, 2_400));
  }

  @Test
  void idleRunnerTakesRequestThatNeedsMostOfItsMemory() {
    assertEquals(
        Room.FREE, TokenRoom.judge(new TokenRoom.View(TOTAL, 0, 2_000, 0, 0), 90_000, 95_000));
  }

  @Test
  void promptThatIsLargerThanTheMemoryNeverFits() {
    assertEquals(
        Room.TOO_SMALL, TokenRoom.judge(new TokenRoom.View(TOTAL, 0, 0, 0, 0), 100_001, 100_100));
  }

  @Test
  void runnerWithoutKnownMemoryTakesAnyRequest() {
    assertEquals(Room.FREE, TokenRoom.judge(new TokenRoom.View(0, 0, 0, 0, 0), 9_000, 9_000));
  }

  @Property(tries = 200, seed = "42")
  void usedMemoryNeverExceedsTheTotalByWhatOneInstanceSends(
      @ForAll @IntRange(min = 1, max = 60_000) int used,
      @ForAll @IntRange(min = 1, max = 20_000) int tokens,
      @ForAll @IntRange(min = 0, max = 4_000) int age) {
    double own = 0;
    while (own <= TOTAL
        && TokenRoom.judge(new TokenRoom.View(TOTAL, used, age, own, 0), tokens, tokens)
            == Room.FREE) {
      own += tokens;
    }
    assertTrue(used + own <= TOTAL);
  }
}
