package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LoadSlowdownTest {
  @Test
  void timeOnPartlyLoadedUpstreamIsScaledToFullLoad() {
    LoadSlowdown slowdown = new LoadSlowdown();
    slowdown.recordServiceTime(0.1, 20);
    assertEquals(1, slowdown.fullLoadFactor(0.1));
    slowdown.recordServiceTime(1, 50);
    assertEquals(2.5, slowdown.fullLoadFactor(0.1));
    assertEquals(1, slowdown.fullLoadFactor(1));
    assertEquals(1, slowdown.fullLoadFactor(0.5));
  }
}
