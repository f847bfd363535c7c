package org.agatefield.daemon.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StandstillDetectorTest {
  private final StandstillDetector detector = new StandstillDetector(1_000, 500_000);

  @Test
  void clocksThatAdvanceTogetherShowNoSuspension() {
    assertFalse(detector.stoodStill(1_200, 500_210));
    assertFalse(detector.stoodStill(9_200, 508_205));
  }

  @Test
  void suspensionCountedOnlyByTheWallClockIsDetectedOnce() {
    assertTrue(detector.stoodStill(1_200, 506_200));
    assertFalse(detector.stoodStill(1_400, 506_400));
  }

  @Test
  void backwardStepOfTheWallClockIsDetected() {
    assertTrue(detector.stoodStill(1_200, 498_200));
  }
}
