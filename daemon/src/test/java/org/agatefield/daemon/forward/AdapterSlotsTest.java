package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class AdapterSlotsTest {
  private static final long LATER = 10_000;

  private final AdapterSlots slots = new AdapterSlots();

  @Test
  void releasedAdapterOccupiesItsSlotUntilItIsUnloaded() {
    slots.loaded("m/a1", 0);
    assertEquals(Optional.of("m/a1"), slots.release(LATER));
    assertEquals(1, slots.taken());
    slots.gone("m/a1");
    assertEquals(0, slots.taken());
  }

  @Test
  void releasedAdapterIsNotUsableUnlessItIsKept() {
    slots.loaded("m/a1", 0);
    slots.release(LATER);
    assertFalse(slots.use("m/a1", LATER));
    slots.keep("m/a1");
    assertTrue(slots.use("m/a1", LATER));
  }

  @Test
  void recentlyUsedAdapterIsNotReleased() {
    slots.loaded("m/a1", 0);
    slots.loaded("m/a2", 0);
    slots.use("m/a1", LATER);
    assertEquals(Optional.of("m/a2"), slots.release(LATER));
    assertEquals(Optional.empty(), slots.release(LATER));
  }

  @Test
  void reportedAdaptersOccupySlotsAndUnreportedOnesDoNot() {
    slots.loaded("m/a1", 0);
    slots.reported(Set.of("m/a2", "n/a1"));
    assertEquals(2, slots.taken());
    assertFalse(slots.holds("m/a1"));
    slots.forgetModel("m");
    assertEquals(1, slots.taken());
  }
}
