package org.agatefield.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.agatefield.lease.LeaseSimulation.Fault;
import org.agatefield.lease.LeaseSimulation.RealGrant;
import org.junit.jupiter.api.Test;

class LeaseProtocolTest {
  private static final int RUNS = 2_000;
  private static final LeaseTerms TERMS = new LeaseTerms(100, 25, 0);

  @Property(tries = 20_000, seed = "42", edgeCases = EdgeCasesMode.NONE)
  void grantsToDifferentHoldersNeverOverlapAndTokensIncrease(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0, max = 0.5) double faultShare,
      @ForAll @IntRange(min = 1, max = 5) int contenders) {
    List<RealGrant> grants = new LeaseSimulation(seed, faultShare, Fault.NONE).run(contenders);
    assertEquals(List.of(), violations(grants));
  }

  @Property(tries = 20_000, seed = "43", edgeCases = EdgeCasesMode.NONE)
  void grantsNeverOverlapAndTokensIncreaseIfTheStoreComesBackOlder(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0, max = 0.5) double faultShare,
      @ForAll @IntRange(min = 1, max = 5) int contenders) {
    List<RealGrant> grants =
        new LeaseSimulation(seed, faultShare, Fault.NONE, true).run(contenders);
    assertEquals(List.of(), violations(grants));
  }

  @Test
  void ignoredEraOverlapsOrReusesTokens() {
    long violated = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      List<RealGrant> grants = new LeaseSimulation(seed, 0.2, Fault.IGNORE_ERA, true).run(4);
      violated += violations(grants).isEmpty() ? 0 : 1;
    }
    System.out.println("IGNORE_ERA: violations in " + violated + " of " + RUNS + " runs");
    assertTrue(violated > 0);
  }

  @Test
  void absentLeaseOfStoreWithErasIsCreatedOnlyAfterTheLongestGrantHasEnded() {
    LeaseProtocol protocol = new LeaseProtocol("b", TERMS);
    LeaseState state = protocol.observeAbsent(LeaseState.unknown(), 3, 0);
    assertTrue(protocol.decide(state, 99) instanceof LeaseDecision.Wait);
    LeaseDecision.Create create = (LeaseDecision.Create) protocol.decide(state, 100);
    assertTrue(create.lease().fencingToken() > 3L << 32);
  }

  @Test
  void holderOfValidGrantWritesItsLeaseAgainAtOnceInNewEra() {
    LeaseProtocol protocol = new LeaseProtocol("b", TERMS);
    LeaseState state =
        protocol.recordWrite(
            LeaseState.unknown(),
            new LeaseRecord("b", (1L << 32) + 9, 100),
            new LeaseVersion("1/9", 1, 9),
            0,
            1);
    state =
        protocol.observe(
            state, new LeaseVersion("2/4", 2, 4), new LeaseRecord("a", (1L << 32) + 3, 100), 50);
    LeaseDecision.Update update = (LeaseDecision.Update) protocol.decide(state, 50);
    assertEquals((2L << 32) + 4, update.lease().fencingToken());
  }

  @Test
  void leaseChangesItsHolderInMostRunsWithFaults() {
    long changed = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      List<RealGrant> grants = new LeaseSimulation(seed, 0.2, Fault.NONE).run(4);
      changed += grants.stream().map(RealGrant::process).distinct().count() > 1 ? 1 : 0;
    }
    System.out.println("NONE: holder changed in " + changed + " of " + RUNS + " runs");
    assertTrue(changed > RUNS / 2);
  }

  @Test
  void grantCountedFromTheResponseOverlaps() {
    assertTrue(runsWithViolations(Fault.TRUST_FROM_ANSWER) > 0);
  }

  @Test
  void takeoverWithoutWaitingOverlaps() {
    assertTrue(runsWithViolations(Fault.CHALLENGE_WITHOUT_WAITING) > 0);
  }

  @Test
  void takeoverAfterHalfTheDurationOverlaps() {
    assertTrue(runsWithViolations(Fault.CHALLENGE_AFTER_HALF) > 0);
  }

  @Test
  void unchangedTokenViolatesTheInvariant() {
    assertTrue(runsWithViolations(Fault.KEEP_TOKEN) > 0);
  }

  @Test
  void ignoredClockDriftOverlapsInTheWorstCase() {
    assertEquals(true, overlapsAtWorstDrift(0));
    assertEquals(false, overlapsAtWorstDrift(10_000));
  }

  @Test
  void onlyLeaseOfDeadHolderIsTakenOverWithoutWaiting() {
    LeaseProtocol protocol = new LeaseProtocol("b-2", TERMS, "b-1"::equals);
    LeaseRecord ofDeadHolder = new LeaseRecord("b-1", 7, TERMS.durationNanoseconds());
    LeaseState state =
        protocol.observe(LeaseState.unknown(), LeaseVersion.of("v"), ofDeadHolder, 0);
    LeaseDecision.Update update = (LeaseDecision.Update) protocol.decide(state, 1);
    assertEquals(8, update.lease().fencingToken());
    LeaseRecord ofLiveHolder = new LeaseRecord("c-1", 7, TERMS.durationNanoseconds());
    LeaseState other =
        protocol.observe(LeaseState.unknown(), LeaseVersion.of("v"), ofLiveHolder, 0);
    assertTrue(protocol.decide(other, 1) instanceof LeaseDecision.Wait);
  }

  @Test
  void releasedLeaseIsTakenOverWithoutWaiting() {
    LeaseProtocol protocol = new LeaseProtocol("b", TERMS);
    LeaseState state =
        protocol.observe(
            LeaseState.unknown(), LeaseVersion.of("7"), new LeaseRecord("", 4, 100), 0);
    assertEquals(
        new LeaseDecision.Update(LeaseVersion.of("7"), new LeaseRecord("b", 5, 100)),
        protocol.decide(state, 0));
  }

  @Test
  void holderReleasesOnlyItsOwnLease() {
    LeaseProtocol protocol = new LeaseProtocol("b", TERMS);
    LeaseState other =
        protocol.observe(
            LeaseState.unknown(), LeaseVersion.of("7"), new LeaseRecord("a", 4, 100), 0);
    assertEquals(Optional.empty(), protocol.release(other));
    LeaseState own = recordWrite(protocol, new LeaseRecord("b", 5, 100));
    assertEquals(
        Optional.of(new LeaseDecision.Update(LeaseVersion.of("8"), new LeaseRecord("", 5, 100))),
        protocol.release(own));
  }

  @Test
  void holderGetsNewTokenAfterItsGrantExpired() {
    LeaseProtocol protocol = new LeaseProtocol("b", TERMS);
    LeaseState state = recordWrite(protocol, new LeaseRecord("b", 5, 100));
    assertEquals(
        new LeaseDecision.Update(LeaseVersion.of("8"), new LeaseRecord("b", 5, 100)),
        protocol.decide(state, 99));
    assertEquals(
        new LeaseDecision.Update(LeaseVersion.of("8"), new LeaseRecord("b", 6, 100)),
        protocol.decide(state, 100));
  }

  private static LeaseState recordWrite(LeaseProtocol protocol, LeaseRecord lease) {
    return protocol.recordWrite(LeaseState.unknown(), lease, LeaseVersion.of("8"), 0, 1);
  }

  /**
   * Returns whether grants overlap if the holder's clock is slow, the challenger's is fast, and the
   * challenger observes the write at the moment at which the holder sent it.
   */
  private static boolean overlapsAtWorstDrift(long driftPerMillion) {
    LeaseTerms terms = new LeaseTerms(100_000_000, 25_000_000, driftPerMillion);
    double slow = 0.996;
    double fast = 1.004;
    LeaseProtocol holder = new LeaseProtocol("a", terms);
    LeaseState held =
        holder.recordWrite(
            LeaseState.unknown(), new LeaseRecord("a", 1, 100_000_000), LeaseVersion.of("1"), 0, 0);
    final double holderEnds = held.grant().orElseThrow().validUntilNanoseconds() / slow;
    LeaseProtocol challenger = new LeaseProtocol("b", terms);
    LeaseState observed =
        challenger.observe(
            LeaseState.unknown(), LeaseVersion.of("1"), new LeaseRecord("a", 1, 100_000_000), 0);
    LeaseDecision.Wait wait = (LeaseDecision.Wait) challenger.decide(observed, 0);
    return wait.nanoseconds() / fast < holderEnds;
  }

  private static long runsWithViolations(Fault fault) {
    long violated = 0;
    for (long seed = 1; seed <= RUNS; seed++) {
      List<RealGrant> grants = new LeaseSimulation(seed, 0.2, fault).run(4);
      violated += violations(grants).isEmpty() ? 0 : 1;
    }
    System.out.println(fault + ": violations in " + violated + " of " + RUNS + " runs");
    return violated;
  }

  private static List<String> violations(List<RealGrant> grants) {
    List<String> found = new ArrayList<>();
    for (int later = 0; later < grants.size(); later++) {
      for (int earlier = 0; earlier < later; earlier++) {
        compare(grants.get(earlier), grants.get(later), found);
      }
    }
    return found;
  }

  private static void compare(RealGrant earlier, RealGrant later, List<String> found) {
    if (earlier.process() == later.process()) {
      return;
    }
    if (earlier.until() > later.from() && later.until() > earlier.from()) {
      found.add("overlap of " + earlier + " and " + later);
    }
    if (later.token() <= earlier.token()) {
      found.add("token does not increase from " + earlier + " to " + later);
    }
  }
}
