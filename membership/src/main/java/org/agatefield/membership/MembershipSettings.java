package org.agatefield.membership;

/**
 * Bounds and intervals of a member. Immutable.
 *
 * @param tickMilliseconds how often the member gets a tick
 * @param probeIntervalMilliseconds one member is probed in each such interval
 * @param probeTimeoutMilliseconds how long a directPeers probe may take before relays are asked
 * @param indirectProbes relays that are asked
 * @param maximumRelays indirect probes that are relayed at once for others
 * @param suspicionMultiplier a suspicion lasts this many probe intervals times the decimal
 *     logarithm of the number of members, at least once; 0 declares death without suspicion
 * @param gossipIntervalMilliseconds how often news is sent while there is any
 * @param gossipFanout members that news is sent to in each such interval
 * @param transmitMultiplier each piece of news is sent this many times the binary logarithm of the
 *     number of members
 * @param updatesPerMessage statements about members in a message, but for exchanges
 * @param updatesPerPage statements about members in a page of an exchange
 * @param exchangeIntervalMilliseconds how often whole tables are compared with one other member
 * @param deadContactIntervalMilliseconds how often one dead member is tried again
 * @param deadRetentionMilliseconds how long the dead are remembered
 * @param maximumDead the most dead that are remembered; the oldest are forgotten first
 * @param pauseMilliseconds a longer gap between events means that this process stood still
 * @param maximumHealthScore intervals are stretched by up to this many times, 0 never
 * @param remoteShare the share of probes and gossip that goes to other regions, from 0 to 1
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

  /** Returns settings for a fleet of up to some hundreds of members in a few regions. */
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
   * Returns these settings with other bounds for finding the dead.
   *
   * @param probeInterval milliseconds between probes
   * @param probeTimeout milliseconds that a directPeers probe may take
   * @param suspicion probe intervals that a suspicion lasts, at ten members or fewer
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
   * Returns these settings with other bounds for spreading news.
   *
   * @param updates statements about members in a message, but for exchanges
   * @param multiplier each piece of news is sent this many times the binary logarithm of the number
   *     of members
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

  /** Returns how long a suspicion lasts among {@code members}. */
  long suspicionMilliseconds(int members) {
    double scale = Math.max(1.0, Math.log10(Math.max(1, members)));
    return Math.round(suspicionMultiplier * scale * probeIntervalMilliseconds);
  }

  /** Returns how often one piece of news is sent among {@code members}. */
  public int transmissions(int members) {
    int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, members));
    return transmitMultiplier * bits;
  }
}
