package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class FleetSizeTest {
  private int alive = 20;
  private final FleetSize size = new FleetSize(() -> alive);

  @Test
  void instancesThatAreNoLongerSeenStillCount() {
    size.look(0);
    alive = 1;
    assertEquals(20, size.most(30_000));
  }

  @Test
  void instancesThatWereNotSeenForLongAreForgotten() {
    size.look(0);
    alive = 12;
    assertEquals(12, size.most(61_000));
  }

  @Test
  void growthCountsAtOnce() {
    size.look(0);
    alive = 30;
    assertEquals(30, size.most(1));
  }
}
