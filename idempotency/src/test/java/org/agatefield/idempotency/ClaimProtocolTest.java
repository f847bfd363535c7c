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
import org.agatefield.idempotency.SimulatedWorld.Fault;
import org.junit.jupiter.api.Test;

/** Requirements REQ-AT-MOST-ONCE and REQ-TRUE-REFUSAL over any interleaving of faults. */
class ClaimProtocolTest {
  private static final int RUNS = 5_000;

  @Property(tries = 100_000, seed = "42", edgeCases = EdgeCasesMode.NONE)
  void callIsSentAtMostOnceAndItsAnswerKept(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0, max = 0.5) double faultShare,
      @ForAll @IntRange(min = 1, max = 12) int arrivals) {
    SimulatedWorld world = new SimulatedWorld(seed, faultShare, Fault.NONE);
    world.run(arrivals);
    assertEquals(List.of(), world.violations);
  }

  /** Seeds that once ran twice: an arrival went on after its claim was given up for removal. */
  @Test
  void arrivalWhoseClaimIsBeingRemovedDoesNotClaimAgain() {
    for (long seed : new long[] {273, 4363, 31478, 54911, 56905}) {
      SimulatedWorld world = new SimulatedWorld(seed, 0.3, Fault.NONE);
      world.run(12);
      assertEquals(List.of(), world.violations);
    }
  }

  @Test
  void claimOfAnotherFoundAfterLostCreateEndsTheArrival() {
    ClaimProtocol<String> protocol = new ClaimProtocol<>();
    CallAttempt arrival = new CallAttempt("mine", "body", 1_000, 1_000, false);
    Claim<String> other = new Claim<>("other", "b", "body", 0, 0, 0, Optional.empty());
    ClaimStep<String> step =
        protocol.next(
            ClaimState.in(ClaimState.Phase.READING_BACK),
            new ClaimEvent.Found<>(other, ClaimEvent.HolderState.RUNNING),
            arrival,
            0);
    assertEquals(ClaimState.Phase.DONE, step.state().phase());
    assertTrue(step.actions().contains(new ClaimAction.Remove<String>()));
  }

  @Test
  void withoutFaultsTheFirstArrivalRunsAndAllGetItsAnswer() {
    SimulatedWorld world = new SimulatedWorld(1, 0, Fault.NONE);
    world.run(10);
    assertEquals(List.of(), world.violations);
    assertEquals(1, world.executedAnswers.size());
  }

  @Test
  void runsWithFaultsExecuteTheCallMoreOftenThanNot() {
    long executed = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      SimulatedWorld world = new SimulatedWorld(seed, 0.2, Fault.NONE);
      world.run(8);
      executed += world.executedAnswers.size();
    }
    System.out.println("NONE: executed in " + executed + " of " + RUNS + " runs");
    assertTrue(executed > RUNS / 2);
  }

  @Test
  void sendingWithoutClaimBreaksTheProperty() {
    assertTrue(brokenRuns(Fault.SEND_WITHOUT_CLAIM) > 0);
  }

  @Test
  void sendingAfterAbsentReadBackBreaksTheProperty() {
    assertTrue(brokenRuns(Fault.SEND_AFTER_ABSENT_READ_BACK) > 0);
  }

  @Test
  void releasingWithoutProofBreaksTheProperty() {
    assertTrue(brokenRuns(Fault.RELEASE_WITHOUT_PROOF) > 0);
  }

  @Test
  void takingOverTheClaimOfDeadHolderBreaksTheProperty() {
    assertTrue(brokenRuns(Fault.TAKE_OVER_CLAIM_OF_DEAD_HOLDER) > 0);
  }

  @Test
  void refusingAsNotRunWithoutReadingBreaksTheProperty() {
    assertTrue(brokenRuns(Fault.REFUSE_AS_NOT_RUN_WITHOUT_READING) > 0);
  }

  /** Returns in how many of the seeded runs a violation is seen. */
  private static long brokenRuns(Fault fault) {
    long broken = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      SimulatedWorld world = new SimulatedWorld(seed, 0.2, fault);
      world.run(8);
      broken += world.violations.isEmpty() ? 0 : 1;
    }
    System.out.println(fault + ": violations in " + broken + " of " + RUNS + " runs");
    return broken;
  }
}
