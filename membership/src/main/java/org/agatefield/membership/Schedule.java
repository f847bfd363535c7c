package org.agatefield.membership;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * When the periodic work is due; the first time of each is random within its interval, so that
 * members that start together do not act together. Not safe for use by several threads.
 */
final class Schedule {
  private static final long LONELY_CONTACT_INTERVAL_MILLISECONDS = 1_000;
  private static final long HASTENED_EXCHANGE_MILLISECONDS = 2_000;

  private final MembershipSettings settings;
  private final UniformRandomProvider random;
  private long nextProbe;
  private long nextGossip;
  private long nextExchange;
  private long nextContact;

  Schedule(MembershipSettings settings, UniformRandomProvider random, long now) {
    this.settings = settings;
    this.random = random;
    nextProbe = now + within(settings.probeIntervalMilliseconds());
    nextGossip = now + within(settings.gossipIntervalMilliseconds());
    nextExchange = now + within(settings.exchangeIntervalMilliseconds());
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

  /** Brings the next exchange forward, as the last one found unknown members. */
  void hastenExchange(long now) {
    nextExchange = Math.min(nextExchange, now + jittered(HASTENED_EXCHANGE_MILLISECONDS));
  }

  /** Returns whether a seed and a dead member are to be tried; oftener while nobody is known. */
  boolean contactDue(long now, boolean lonely) {
    if (now < nextContact) {
      return false;
    }
    long interval =
        lonely ? LONELY_CONTACT_INTERVAL_MILLISECONDS : settings.deadContactIntervalMilliseconds();
    nextContact = now + jittered(interval);
    return true;
  }

  private long within(long interval) {
    return random.nextLong(Math.max(1, interval));
  }

  private long jittered(long interval) {
    return interval / 2 + within(interval);
  }
}
