package org.agatefield.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.agatefield.idempotency.ClaimSimulation.Fault;
import org.junit.jupiter.api.Test;

/** Tests requirements REQ-AT-MOST-ONCE and REQ-TRUE-REFUSAL with random interleavings of faults. */
class ClaimProtocolTest {
  private static final int RUNS = 5_000;

  @Property(tries = 100_000, seed = "42", edgeCases = EdgeCasesMode.NONE)
  void callIsSentAtMostOnceAndItsAnswerIsNotLost(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0, max = 0.5) double faultShare,
      @ForAll @IntRange(min = 1, max = 12) int attempts) {
    ClaimSimulation simulation = new ClaimSimulation(seed, faultShare, Fault.NONE);
    simulation.run(attempts);
    assertEquals(List.of(), simulation.violations);
  }

  /** In these seeds the call once ran twice: an attempt continued while its claim was removed. */
  @Test
  void attemptWhoseClaimIsBeingRemovedDoesNotClaimAgain() {
    for (long seed : new long[] {273, 4363, 31478, 54911, 56905}) {
      ClaimSimulation simulation = new ClaimSimulation(seed, 0.3, Fault.NONE);
      simulation.run(12);
      assertEquals(List.of(), simulation.violations);
    }
  }

  @Test
  void claimOfAnotherAttemptFoundAfterUnconfirmedCreateEndsTheAttempt() {
    ClaimProtocol<String> protocol = new ClaimProtocol<>();
    CallAttempt attempt = new CallAttempt("mine", "body", 1_000, 1_000, false);
    Claim<String> other = new Claim<>("other", "b", "body", 0, 0, 0, Optional.empty());
    ClaimStep<String> step =
        protocol.next(
            ClaimState.in(ClaimState.Phase.READING_BACK),
            new ClaimEvent.Found<>(other, ClaimEvent.HolderState.RUNNING, true),
            attempt,
            0);
    assertEquals(ClaimState.Phase.DONE, step.state().phase());
    assertTrue(step.actions().contains(new ClaimAction.Remove<String>()));
  }

  @Test
  void withoutFaultsTheFirstAttemptRunsAndAllGetItsAnswer() {
    ClaimSimulation simulation = new ClaimSimulation(1, 0, Fault.NONE);
    simulation.run(10);
    assertEquals(List.of(), simulation.violations);
    assertEquals(1, simulation.executedAnswers.size());
  }

  @Test
  void callIsExecutedInMostRunsWithFaults() {
    long executed = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      ClaimSimulation simulation = new ClaimSimulation(seed, 0.2, Fault.NONE);
      simulation.run(8);
      executed += simulation.executedAnswers.size();
    }
    System.out.println("NONE: executed in " + executed + " of " + RUNS + " runs");
    assertTrue(executed > RUNS / 2);
  }

  @Test
  void sendingWithoutClaimCausesViolations() {
    assertTrue(runsWithViolations(Fault.SEND_WITHOUT_CLAIM) > 0);
  }

  @Test
  void sendingAfterAbsentReadBackCausesViolations() {
    assertTrue(runsWithViolations(Fault.SEND_AFTER_ABSENT_READ_BACK) > 0);
  }

  @Test
  void releasingWithoutProofCausesViolations() {
    assertTrue(runsWithViolations(Fault.RELEASE_WITHOUT_PROOF) > 0);
  }

  @Test
  void takingOverTheClaimOfDeadHolderCausesViolations() {
    assertTrue(runsWithViolations(Fault.TAKE_OVER_CLAIM_OF_DEAD_HOLDER) > 0);
  }

  @Test
  void refusingAsNotRunWithoutReadingCausesViolations() {
    assertTrue(runsWithViolations(Fault.REFUSE_AS_NOT_RUN_WITHOUT_READING) > 0);
  }

  @Property(tries = 50_000, seed = "42", edgeCases = EdgeCasesMode.NONE)
  void callIsSentAtMostOnceAlthoughTheStoreComesBackOlder(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0, max = 0.5) double faultShare,
      @ForAll @IntRange(min = 1, max = 12) int attempts) {
    ClaimSimulation simulation = new ClaimSimulation(seed, faultShare, Fault.NONE);
    simulation.runWithRestores(attempts);
    assertEquals(List.of(), simulation.violations);
  }

  @Test
  void callIsExecutedInSomeRunsWithRestores() {
    long executed = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      ClaimSimulation simulation = new ClaimSimulation(seed, 0.2, Fault.NONE);
      simulation.runWithRestores(8);
      executed += simulation.executedAnswers.size();
    }
    System.out.println("NONE, restores: executed in " + executed + " of " + RUNS + " runs");
    assertTrue(executed > RUNS / 4);
  }

  @Test
  void trustingAbsentClaimsOverErasCausesViolations() {
    long violated = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      ClaimSimulation simulation = new ClaimSimulation(seed, 0.2, Fault.IGNORE_ERA);
      simulation.runWithRestores(8);
      violated += simulation.violations.isEmpty() ? 0 : 1;
    }
    System.out.println("IGNORE_ERA: violations in " + violated + " of " + RUNS + " runs");
    assertTrue(violated > 0);
  }

  /** Returns the number of seeded runs with a violation. */
  private static long runsWithViolations(Fault fault) {
    long violated = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      ClaimSimulation simulation = new ClaimSimulation(seed, 0.2, fault);
      simulation.run(8);
      violated += simulation.violations.isEmpty() ? 0 : 1;
    }
    System.out.println(fault + ": violations in " + violated + " of " + RUNS + " runs");
    return violated;
  }
}
