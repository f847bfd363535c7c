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
  void evictedAdapterOccupiesItsSlotUntilItIsRemoved() {
    slots.loaded("m/a1", 0);
    assertEquals(Optional.of("m/a1"), slots.evict(LATER));
    assertEquals(1, slots.used());
    slots.removed("m/a1");
    assertEquals(0, slots.used());
  }

  @Test
  void adapterBeingUnloadedIsNotUsable() {
    slots.loaded("m/a1", 0);
    slots.evict(LATER);
    assertFalse(slots.touch("m/a1", LATER));
    slots.retain("m/a1");
    assertTrue(slots.touch("m/a1", LATER));
  }

  @Test
  void recentlyUsedAdapterIsNotEvicted() {
    slots.loaded("m/a1", 0);
    slots.loaded("m/a2", 0);
    slots.touch("m/a1", LATER);
    assertEquals(Optional.of("m/a2"), slots.evict(LATER));
    assertEquals(Optional.empty(), slots.evict(LATER));
  }

  @Test
  void reportedAdaptersOccupySlotsAndUnreportedOnesDoNot() {
    slots.loaded("m/a1", 0);
    slots.reported(Set.of("m/a2", "n/a1"));
    assertEquals(2, slots.used());
    assertFalse(slots.holds("m/a1"));
    slots.modelLeaves("m");
    assertEquals(2, slots.used());
    assertFalse(slots.touch("m/a2", LATER));
    slots.retainModels(Set.of("n"));
    assertEquals(1, slots.used());
  }
}
