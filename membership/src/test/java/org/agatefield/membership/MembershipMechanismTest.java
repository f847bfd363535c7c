package org.agatefield.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests that the properties of {@link MembershipTest} fail when a mechanism is switched off. */
class MembershipMechanismTest {
  private static final long SEEDS = 20;
  private static final long LONG_MILLISECONDS = 1_000_000_000;
  private static final long PARTITION_MILLISECONDS = 300_000;
  private static final long PAUSE_MILLISECONDS = 600_000;

  @Test
  void withoutSuspicionMessageLossCausesDeaths() {
    long deaths =
        LongStream.range(0, SEEDS)
            .map(seed -> MembershipTest.deathsUnderLoss(seed, withoutSuspicion()))
            .sum();
    System.out.println("deaths under loss without suspicion: " + deaths);
    assertTrue(deaths > 0);
  }

  @Test
  void withoutPauseDetectionMemberDeclaresOthersDead() {
    long deaths =
        LongStream.range(0, SEEDS)
            .map(
                seed ->
                    MembershipTest.deathsByPausedMember(
                        seed, PAUSE_MILLISECONDS, withoutPauseDetection()))
            .sum();
    System.out.println("deaths declared by a paused member without pause detection: " + deaths);
    assertTrue(deaths > 0);
  }

  @Test
  void withoutContactingTheDeadRegionsStayPartitioned() {
    assertFalse(
        MembershipTest.rejoinsAfterPartition(
            1, PARTITION_MILLISECONDS, withoutContactingTheDead()));
  }

  @Test
  void withoutRememberingTheDeadTheyReturn() {
    long runs =
        LongStream.range(0, SEEDS)
            .filter(
                seed ->
                    MembershipTest.deadMemberReturns(
                        seed, PAUSE_MILLISECONDS, withoutRememberingTheDead()))
            .count();
    System.out.println("runs in which a dead member returns: " + runs);
    assertTrue(runs > 0);
  }

  private static MembershipSettings withoutSuspicion() {
    return settings(0, 5_000, 1_500, 4_096);
  }

  private static MembershipSettings withoutPauseDetection() {
    return settings(5, 5_000, LONG_MILLISECONDS, 4_096);
  }

  private static MembershipSettings withoutContactingTheDead() {
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
