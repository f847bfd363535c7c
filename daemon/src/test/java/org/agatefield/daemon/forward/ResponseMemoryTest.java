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
   * Grows the responses in turn until all have been refused more memory; returns the highest total.
   */
  private long growTogether(int answers) {
    List<ResponseMemory.Share> growing = new ArrayList<>();
    for (int number = 0; number < answers; number++) {
      growing.add(memory.share());
    }
    long most = 0;
    for (int size = MEBIBYTE; !growing.isEmpty(); size += MEBIBYTE) {
      int requiredBytes = size;
      growing.removeIf(share -> endsAt(share, requiredBytes));
      most = Math.max(most, memory.totalBytes());
    }
    return most;
  }

  private static boolean endsAt(ResponseMemory.Share share, int requiredBytes) {
    boolean ends = !share.reserve(requiredBytes);
    if (ends) {
      share.release();
    }
    return ends;
  }

  @Test
  void endlessResponseIsRefusedMemoryAtItsLimit() {
    assertTrue(growTogether(1) <= 16 * MEBIBYTE);
    assertEquals(0, memory.totalBytes());
  }

  @Test
  void manyEndlessResponsesStayWithinTheTotalLimit() {
    assertTrue(growTogether(100) <= 24L * MEBIBYTE);
    assertEquals(0, memory.totalBytes());
  }

  @Test
  void responsesOfUsualSizeFitBesideLargeOnes() {
    ResponseMemory.Share first = memory.share();
    ResponseMemory.Share second = memory.share();
    assertTrue(first.reserve(15 * MEBIBYTE));
    assertFalse(second.reserve(15 * MEBIBYTE));
    assertTrue(memory.share().reserve(USUAL_BYTES));
  }

  /**
   * Guards against many calls at once of one faulty runner, each below the size that always fits.
   */
  @Test
  void manyResponsesOfUsualSizeStayWithinTheirTotalLimit() {
    int fitting = 0;
    while (fitting < 10_000 && memory.share().reserve(USUAL_BYTES)) {
      fitting++;
    }
    assertTrue(fitting * (long) USUAL_BYTES <= 48L * MEBIBYTE, "fitting: " + fitting);
  }
}
