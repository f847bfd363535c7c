package org.agatefield.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UpstreamLoadTest {
  private final UpstreamLoad load = new UpstreamLoad();

  @Test
  void laggingReportOfOwnRequestsIsNotCountedAsRequestsOfOthers() {
    send(16);
    finish(16);
    load.reported(16, 0, 1);
    assertEquals(0, load.outstanding(1));
  }

  @Test
  void reportThatLagsByOneReportIsNotCountedAsRequestsOfOthers() {
    send(16);
    load.reported(16, 0, 1);
    finish(16);
    load.reported(16, 0, 2);
    assertEquals(0, load.outstanding(2));
  }

  @Test
  void requestsBeyondOwnOnesCountAsThoseOfOthers() {
    send(4);
    load.reported(10, 0, 1);
    load.reported(10, 0, 2);
    assertEquals(10, load.outstanding(2));
  }

  private void send(int count) {
    for (int number = 0; number < count; number++) {
      load.sent();
    }
  }

  private void finish(int count) {
    for (int number = 0; number < count; number++) {
      load.finished();
    }
  }
}
