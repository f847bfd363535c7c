package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {
  private final SuspensionDetector detector = new SuspensionDetector(1_000, 500_000);

  @Test
  void clocksThatGoTogetherAreTrusted() {
    assertFalse(detector.wasSuspended(1_200, 500_210));
    assertFalse(detector.wasSuspended(9_200, 508_205));
  }

  @Test
  void suspensionThatOnlyTheTimeOfDayCountsIsNoticedOnce() {
    assertTrue(detector.wasSuspended(1_200, 506_200));
    assertFalse(detector.wasSuspended(1_400, 506_400));
  }

  @Test
  void stepOfTheTimeOfDayIsNoticedEitherWay() {
    assertTrue(detector.wasSuspended(1_200, 498_200));
  }
}
