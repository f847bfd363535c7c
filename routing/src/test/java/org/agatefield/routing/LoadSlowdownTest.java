package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LoadSlowdownTest {
  @Test
  void timeOnHalfEmptyUpstreamIsStretchedToThatOnFullOne() {
    LoadSlowdown stretch = new LoadSlowdown();
    stretch.recordServiceTime(0.1, 20);
    assertEquals(1, stretch.fullLoadFactor(0.1));
    stretch.recordServiceTime(1, 50);
    assertEquals(2.5, stretch.fullLoadFactor(0.1));
    assertEquals(1, stretch.fullLoadFactor(1));
    assertEquals(1, stretch.fullLoadFactor(0.5));
  }
}
