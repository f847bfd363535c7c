package org.agatefield.membership;

/**
 * Limits and intervals of a member. Immutable.
 *
 * @param tickMilliseconds interval of the member's ticks
 * @param probeIntervalMilliseconds interval in which one member is probed
 * @param probeTimeoutMilliseconds time after which an unanswered direct probe is sent via relays
 * @param indirectProbes number of relays for such a probe
 * @param maximumRelays maximum number of probes that are relayed for others at the same time
 * @param suspicionMultiplier a suspicion lasts this many probe intervals times the decimal
 *     logarithm of the number of members, which counts as at least 1; 0 declares members dead
 *     without suspicion
 * @param gossipIntervalMilliseconds interval at which queued updates are sent
 * @param gossipFanout number of members that get them in each interval
 * @param transmitMultiplier each update is sent this many times the binary logarithm of the number
 *     of members
 * @param updatesPerMessage maximum number of updates in a message, exchanges excepted
 * @param updatesPerPage number of updates in a page of an exchange
 * @param exchangeIntervalMilliseconds interval of full table exchanges with one other member
 * @param deadContactIntervalMilliseconds interval at which one dead member is contacted again
 * @param deadRetentionMilliseconds how long dead members are remembered
 * @param maximumDead maximum number of remembered dead members; the oldest are removed first
 * @param pauseMilliseconds a longer gap between events means that this process was paused
 * @param maximumHealthScore intervals are lengthened by up to this many times; 0 disables that
 * @param remoteShare share of probes and gossip that goes to other regions, from 0 to 1
 */
public record MembershipSettings(
    long tickMilliseconds,
    long probeIntervalMilliseconds,
    long probeTimeoutMilliseconds,
    int indirectProbes,
    int maximumRelays,
    int suspicionMultiplier,
    long gossipIntervalMilliseconds,
    int gossipFanout,
    int transmitMultiplier,
    int updatesPerMessage,
    int updatesPerPage,
    long exchangeIntervalMilliseconds,
    long deadContactIntervalMilliseconds,
    long deadRetentionMilliseconds,
    int maximumDead,
    long pauseMilliseconds,
    int maximumHealthScore,
    double remoteShare) {

  /** Returns settings for a fleet of up to a few hundred members in a few regions. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        100,
        1_000,
        400,
        3,
        32,
        5,
        250,
        2,
        3,
        8,
        32,
        30_000,
        5_000,
        86_400_000,
        4_096,
        1_500,
        7,
        0.125);
  }

  /**
   * Returns these settings with other limits for failure detection.
   *
   * @param probeInterval milliseconds between probes
   * @param probeTimeout milliseconds after which a direct probe is sent via relays
   * @param suspicion probe intervals that a suspicion lasts among ten members or fewer
   */
  public MembershipSettings withProbes(long probeInterval, long probeTimeout, int suspicion) {
    return new MembershipSettings(
        tickMilliseconds,
        probeInterval,
        probeTimeout,
        indirectProbes,
        maximumRelays,
        suspicion,
        gossipIntervalMilliseconds,
        gossipFanout,
        transmitMultiplier,
        updatesPerMessage,
        updatesPerPage,
        exchangeIntervalMilliseconds,
        deadContactIntervalMilliseconds,
        deadRetentionMilliseconds,
        maximumDead,
        pauseMilliseconds,
        maximumHealthScore,
        remoteShare);
  }

  /**
   * Returns these settings with other limits for gossip.
   *
   * @param updates maximum number of updates in a message, exchanges excepted
   * @param multiplier each update is sent this many times the binary logarithm of the number of
   *     members
   */
  public MembershipSettings withGossip(int updates, int multiplier) {
    return new MembershipSettings(
        tickMilliseconds,
        probeIntervalMilliseconds,
        probeTimeoutMilliseconds,
        indirectProbes,
        maximumRelays,
        suspicionMultiplier,
        gossipIntervalMilliseconds,
        gossipFanout,
        multiplier,
        updates,
        updatesPerPage,
        exchangeIntervalMilliseconds,
        deadContactIntervalMilliseconds,
        deadRetentionMilliseconds,
        maximumDead,
        pauseMilliseconds,
        maximumHealthScore,
        remoteShare);
  }

  /** Returns the duration of a suspicion in a group of {@code members}. */
  long suspicionMilliseconds(int members) {
    double scale = Math.max(1.0, Math.log10(Math.max(1, members)));
    return Math.round(suspicionMultiplier * scale * probeIntervalMilliseconds);
  }

  /** Returns how often one update is sent in a group of {@code members}. */
  public int transmissions(int members) {
    int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, members));
    return transmitMultiplier * bits;
  }
}
