package org.agatefield.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Shows that what the properties hold is lost when the mechanism that carries it is off. */
class MembershipMechanismTest {
  private static final long SEEDS = 20;
  private static final long LONG_MILLISECONDS = 1_000_000_000;
  private static final long CUT_MILLISECONDS = 300_000;
  private static final long PAUSE_MILLISECONDS = 600_000;

  @Test
  void withoutSuspicionLossKillsMembers() {
    long deaths =
        LongStream.range(0, SEEDS)
            .map(seed -> MembershipTest.deathsUnderLoss(seed, withoutSuspicion()))
            .sum();
    System.out.println("deaths under loss without suspicion: " + deaths);
    assertTrue(deaths > 0);
  }

  @Test
  void withoutNoticingItsPauseMemberKillsOthers() {
    long deaths =
        LongStream.range(0, SEEDS)
            .map(
                seed ->
                    MembershipTest.deathsByPausedMember(
                        seed, PAUSE_MILLISECONDS, withoutNoticingPauses()))
            .sum();
    System.out.println("deaths by a paused member that does not notice: " + deaths);
    assertTrue(deaths > 0);
  }

  @Test
  void withoutTryingTheDeadRegionsStayApart() {
    assertFalse(MembershipTest.rejoinsAfterCut(1, CUT_MILLISECONDS, withoutTryingTheDead()));
  }

  @Test
  void withoutRememberingTheDeadTheyComeBack() {
    long runs =
        LongStream.range(0, SEEDS)
            .filter(
                seed ->
                    MembershipTest.deadComeBack(
                        seed, PAUSE_MILLISECONDS, withoutRememberingTheDead()))
            .count();
    System.out.println("runs in which the dead come back: " + runs);
    assertTrue(runs > 0);
  }

  private static MembershipSettings withoutSuspicion() {
    return settings(0, 5_000, 1_500, 4_096);
  }

  private static MembershipSettings withoutNoticingPauses() {
    return settings(5, 5_000, LONG_MILLISECONDS, 4_096);
  }

  private static MembershipSettings withoutTryingTheDead() {
    return settings(5, LONG_MILLISECONDS, 1_500, 4_096);
  }

  private static MembershipSettings withoutRememberingTheDead() {
    return settings(5, 5_000, 1_500, 0);
  }

  private static MembershipSettings settings(
      int suspicionMultiplier, long deadContactInterval, long pause, int maximumDead) {
    MembershipSettings usual = MembershipSettings.defaults();
    return new MembershipSettings(
        usual.tickMilliseconds(),
        usual.probeIntervalMilliseconds(),
        usual.probeTimeoutMilliseconds(),
        usual.indirectProbes(),
        usual.maximumRelays(),
        suspicionMultiplier,
        usual.gossipIntervalMilliseconds(),
        usual.gossipFanout(),
        usual.transmitMultiplier(),
        usual.updatesPerMessage(),
        usual.updatesPerPage(),
        usual.exchangeIntervalMilliseconds(),
        deadContactInterval,
        usual.deadRetentionMilliseconds(),
        maximumDead,
        pause,
        usual.maximumHealthScore(),
        usual.remoteShare());
  }
}
