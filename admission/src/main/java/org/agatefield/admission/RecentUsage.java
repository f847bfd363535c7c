package org.agatefield.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The work that client accounts were given in the last seconds, by this instance and by others.
 *
 * <p>Older work counts less, so that an account which has been idle is served before one that sends
 * much, and neither debt nor credit lasts. Invariant: keeps at most {@link #MAXIMUM_ACCOUNTS}
 * accounts. Not thread safe.
 */
public final class RecentUsage {
  /** The time in which the weight of past work falls by a factor of e. */
  public static final long TIME_CONSTANT_MILLISECONDS = 5_000;

  private static final int MAXIMUM_ACCOUNTS = 4_096;
  private static final double SECONDS = TIME_CONSTANT_MILLISECONDS / 1_000.0;
  // Less than the work of one short request.
  private static final double NEGLIGIBLE_COST = 1;

  private final Map<String, DecayingRate> given = new HashMap<>();
  private final Elsewhere elsewhere;

  /** What other instances have given to accounts. */
  @FunctionalInterface
  public interface Elsewhere {
    /** Returns the decayed cost of what an account was given by all other instances. */
    double of(String account, long nowMilliseconds);
  }

  /** Creates an empty record. */
  public RecentUsage(Elsewhere elsewhere) {
    this.elsewhere = elsewhere;
  }

  /** Records that an account was given work. */
  public void given(String account, double cost, long nowMilliseconds) {
    if (given.size() >= MAXIMUM_ACCOUNTS && !given.containsKey(account)) {
      return;
    }
    given
        .computeIfAbsent(
            account,
            ignored -> new DecayingRate(TimeUnit.MILLISECONDS.toNanos(TIME_CONSTANT_MILLISECONDS)))
        .add(cost, TimeUnit.MILLISECONDS.toNanos(nowMilliseconds));
  }

  /** Returns the decayed cost of what an account was given by all instances. */
  public double of(String account, long nowMilliseconds) {
    DecayingRate own = given.get(account);
    return (own == null ? 0 : decayed(own, nowMilliseconds))
        + elsewhere.of(account, nowMilliseconds);
  }

  /** Returns what this instance has given to each account, and forgets idle accounts. */
  public Map<String, Double> own(long nowMilliseconds) {
    given.values().removeIf(rate -> decayed(rate, nowMilliseconds) < NEGLIGIBLE_COST);
    Map<String, Double> costs = new HashMap<>();
    given.forEach((account, rate) -> costs.put(account, decayed(rate, nowMilliseconds)));
    return costs;
  }

  private static double decayed(DecayingRate rate, long nowMilliseconds) {
    return rate.perSecond(TimeUnit.MILLISECONDS.toNanos(nowMilliseconds)) * SECONDS;
  }
}
