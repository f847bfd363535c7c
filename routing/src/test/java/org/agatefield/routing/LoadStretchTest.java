package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LoadStretchTest {
  @Test
  void timeOnHalfEmptyUpstreamIsStretchedToThatOnFullOne() {
    LoadStretch stretch = new LoadStretch();
    stretch.measured(0.1, 20);
    assertEquals(1, stretch.toFullLoad(0.1));
    stretch.measured(1, 50);
    assertEquals(2.5, stretch.toFullLoad(0.1));
    assertEquals(1, stretch.toFullLoad(1));
    assertEquals(1, stretch.toFullLoad(0.5));
  }
}
