package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.agatefield.forwarding.CompetingRequestsPolicy.Claim;
import org.junit.jupiter.api.Test;

class CompetingRequestsPolicyTest {
  private static final double MILLISECONDS_PER_TOKEN = 0.06;
  private static final SendPolicy.Timing PATIENT = new SendPolicy.Timing(5_000, 5_000, 8_000);
  private static final OptionalLong URGENT_OBJECTIVE = OptionalLong.of(1_000);

  private final CompetingRequestsPolicy policy =
      new CompetingRequestsPolicy(new StartInTimePolicy());

  private static RunnerCandidate withBacklog(double milliseconds) {
    return new RunnerCandidate(
        "r",
        RunnerCandidate.Distance.SAME_DOMAIN,
        0,
        64,
        milliseconds / MILLISECONDS_PER_TOKEN,
        MILLISECONDS_PER_TOKEN,
        0,
        1_000,
        true);
  }

  @Test
  void patientRequestLeavesRoomThatUrgentOnesNeedToStartInTime() {
    Claim claim = new Claim(URGENT_OBJECTIVE, false, false);
    assertEquals(SendPolicy.Decision.SEND, policy.decide(withBacklog(700), PATIENT, claim));
    assertEquals(SendPolicy.Decision.WAIT, policy.decide(withBacklog(800), PATIENT, claim));
    assertEquals(SendPolicy.Decision.SEND, policy.decide(withBacklog(800), PATIENT, Claim.ALONE));
  }

  @Test
  void requestThatIsNearlyAsUrgentYieldsOnlyWhileUrgentOnesAreRefused() {
    SendPolicy.Timing hurried = new SendPolicy.Timing(1_300, 1_300, 4_000);
    Claim calm = new Claim(URGENT_OBJECTIVE, false, false);
    Claim pressed = new Claim(URGENT_OBJECTIVE, true, false);
    assertEquals(SendPolicy.Decision.SEND, policy.decide(withBacklog(800), hurried, calm));
    assertEquals(SendPolicy.Decision.WAIT, policy.decide(withBacklog(800), hurried, pressed));
  }

  @Test
  void patientRequestYieldsWhileUrgentOnesLackRoomUnlessItsShareIsOwed() {
    RunnerCandidate busy = withBacklog(500);
    Claim pressed = new Claim(URGENT_OBJECTIVE, true, false);
    Claim owed = new Claim(URGENT_OBJECTIVE, true, true);
    assertEquals(SendPolicy.Decision.WAIT, policy.decide(busy, PATIENT, pressed));
    assertEquals(SendPolicy.Decision.SEND, policy.decide(busy, PATIENT, owed));
    assertEquals(SendPolicy.Decision.SEND, policy.decide(withBacklog(100), PATIENT, pressed));
  }

  @Test
  void excessIsWhatHasToDrainBeforeTheRequestIsSent() {
    Claim pressed = new Claim(URGENT_OBJECTIVE, true, false);
    assertEquals(200, policy.excessMilliseconds(withBacklog(500), PATIENT, pressed), 1e-6);
    assertEquals(0, policy.excessMilliseconds(withBacklog(500), PATIENT, Claim.ALONE), 1e-6);
  }
}
