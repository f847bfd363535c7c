package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseMemoryTest {
  private static final int MEBIBYTE = 1_048_576;
  private static final int USUAL_BYTES = 100_000;

  private final ResponseMemory memory = new ResponseMemory();

  /**
   * Grows answers in turn until each has been refused more memory; returns the peak of the held
   * bytes.
   */
  private long growConcurrently(int answers) {
    List<ResponseMemory.Share> growing = new ArrayList<>();
    for (int number = 0; number < answers; number++) {
      growing.add(memory.share());
    }
    long peakBytes = 0;
    for (int size = MEBIBYTE; !growing.isEmpty(); size += MEBIBYTE) {
      int holds = size;
      growing.removeIf(share -> isRefusedAt(share, holds));
      peakBytes = Math.max(peakBytes, memory.heldBytes());
    }
    return peakBytes;
  }

  private static boolean isRefusedAt(ResponseMemory.Share share, int holds) {
    boolean refused = !share.hold(holds);
    if (refused) {
      share.release();
    }
    return refused;
  }

  @Test
  void oneEndlessAnswerIsRefusedMemoryAtItsLimit() {
    assertTrue(growConcurrently(1) <= 16 * MEBIBYTE);
    assertEquals(0, memory.heldBytes());
  }

  @Test
  void manyEndlessAnswersStayWithinTheTotalLimit() {
    assertTrue(growConcurrently(100) <= 24L * MEBIBYTE);
    assertEquals(0, memory.heldBytes());
  }

  @Test
  void answersOfUsualSizeFitBesideLargeOnes() {
    ResponseMemory.Share first = memory.share();
    ResponseMemory.Share second = memory.share();
    assertTrue(first.hold(15 * MEBIBYTE));
    assertFalse(second.hold(15 * MEBIBYTE));
    assertTrue(memory.share().hold(USUAL_BYTES));
  }
}
