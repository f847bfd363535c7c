package org.agatefield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class FleetSizeTest {
  private int alive = 20;
  private final FleetSize size = new FleetSize(() -> alive);

  @Test
  void instancesThatDisappearedRecentlyStillCount() {
    size.sample(0);
    alive = 1;
    assertEquals(20, size.recentMaximum(30_000));
  }

  @Test
  void instancesThatDisappearedLongAgoDoNotCount() {
    size.sample(0);
    alive = 12;
    assertEquals(12, size.recentMaximum(61_000));
  }

  @Test
  void growthTakesEffectAtOnce() {
    size.sample(0);
    alive = 30;
    assertEquals(30, size.recentMaximum(1));
  }
}
