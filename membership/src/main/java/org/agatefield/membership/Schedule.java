package org.agatefield.membership;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Schedules the periodic actions of a member. The first time of each is random within its interval,
 * so that members that start together do not act at the same time. Not thread-safe.
 */
final class Schedule {
  private static final long ISOLATED_CONTACT_INTERVAL_MILLISECONDS = 1_000;
  private static final long EARLY_EXCHANGE_MILLISECONDS = 2_000;

  private final MembershipSettings settings;
  private final UniformRandomProvider random;
  private long nextProbe;
  private long nextGossip;
  private long nextExchange;
  private long nextContact;

  Schedule(MembershipSettings settings, UniformRandomProvider random, long now) {
    this.settings = settings;
    this.random = random;
    nextProbe = now + randomBelow(settings.probeIntervalMilliseconds());
    nextGossip = now + randomBelow(settings.gossipIntervalMilliseconds());
    nextExchange = now + randomBelow(settings.exchangeIntervalMilliseconds());
    nextContact = now;
  }

  boolean probeDue(long now, LocalHealth health) {
    if (now < nextProbe) {
      return false;
    }
    nextProbe = now + health.scale(settings.probeIntervalMilliseconds());
    return true;
  }

  boolean gossipDue(long now) {
    if (now < nextGossip) {
      return false;
    }
    nextGossip = now + settings.gossipIntervalMilliseconds();
    return true;
  }

  boolean exchangeDue(long now) {
    if (now < nextExchange) {
      return false;
    }
    nextExchange = now + jittered(settings.exchangeIntervalMilliseconds());
    return true;
  }

  /** Brings the next exchange forward, because the last one found unknown members. */
  void scheduleEarlyExchange(long now) {
    nextExchange = Math.min(nextExchange, now + jittered(EARLY_EXCHANGE_MILLISECONDS));
  }

  /**
   * Returns whether a seed and a dead member must be contacted now.
   *
   * @param isolated whether no other member is known; the interval is shorter then
   */
  boolean contactDue(long now, boolean isolated) {
    if (now < nextContact) {
      return false;
    }
    long interval =
        isolated
            ? ISOLATED_CONTACT_INTERVAL_MILLISECONDS
            : settings.deadContactIntervalMilliseconds();
    nextContact = now + jittered(interval);
    return true;
  }

  private long randomBelow(long interval) {
    return random.nextLong(Math.max(1, interval));
  }

  private long jittered(long interval) {
    return interval / 2 + randomBelow(interval);
  }
}
