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

  /** Lets answers grow in turn until none may grow any more; returns the most held at once. */
  private long growTogether(int answers) {
    List<ResponseMemory.Share> growing = new ArrayList<>();
    for (int number = 0; number < answers; number++) {
      growing.add(memory.share());
    }
    long most = 0;
    for (int size = MEBIBYTE; !growing.isEmpty(); size += MEBIBYTE) {
      int holds = size;
      growing.removeIf(share -> endsAt(share, holds));
      most = Math.max(most, memory.heldBytes());
    }
    return most;
  }

  private static boolean endsAt(ResponseMemory.Share share, int holds) {
    boolean ends = !share.hold(holds);
    if (ends) {
      share.release();
    }
    return ends;
  }

  @Test
  void oneAnswerWithoutEndIsGivenUpAtItsBound() {
    assertTrue(growTogether(1) <= 16 * MEBIBYTE);
    assertEquals(0, memory.heldBytes());
  }

  @Test
  void manyAnswersWithoutEndStayWithinTheTotal() {
    assertTrue(growTogether(100) <= 24L * MEBIBYTE);
    assertEquals(0, memory.heldBytes());
  }

  @Test
  void answersOfUsualSizeFindRoomBesideLargeOnes() {
    ResponseMemory.Share first = memory.share();
    ResponseMemory.Share second = memory.share();
    assertTrue(first.hold(15 * MEBIBYTE));
    assertFalse(second.hold(15 * MEBIBYTE));
    assertTrue(memory.share().hold(USUAL_BYTES));
  }
}
