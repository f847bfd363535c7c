package org.agatefield.daemon.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.agatefield.model.DemandSample;
import org.junit.jupiter.api.Test;

class DemandMeterTest {
  @Test
  void retriesOfRefusedRequestCountAsOneRefusal() {
    DemandMeter once = new DemandMeter();
    once.refused("quotes", "request", 0);
    DemandMeter often = new DemandMeter();
    for (int attempt = 0; attempt < 50; attempt++) {
      often.refused("quotes", "request", attempt);
    }
    assertEquals(refusedPerSecond(once), refusedPerSecond(often), 1e-6);
  }

  private static double refusedPerSecond(DemandMeter meter) {
    DemandSample sample = meter.samples("north", TimeUnit.MILLISECONDS.toNanos(1)).get(0);
    return sample.refusedPerSecond();
  }
}
