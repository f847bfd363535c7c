package org.agatefield.admission;

/**
 * A token bucket with the part of a shared rate, such as the quota of one client account, that one
 * instance may grant.
 *
 * <p>Bounds accounts that request many times their quota at many instances. Invariant: over any
 * time span, the tokens granted or lent are at most the capacity plus the tokens earned and {@link
 * #add added} in that span; a grant larger than the capacity uses tokens that are earned later. A
 * new bucket is empty, so that an instance that restarts, or takes over the account, grants nothing
 * that the previous holder may have granted already. Not thread safe.
 */
public final class QuotaBucket {
  // A bucket filled to this share grants a request that is larger than its capacity.
  private static final double NEARLY_FULL_SHARE = 0.95;
  // In multiples of the capacity; larger requests need a loan from other instances.
  private static final double LARGEST_GRANT_CAPACITIES = 2;
  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final double MAXIMUM_WAIT_SECONDS = 60; // A rate of 0 never earns a token.

  private static final double UNMET_DECAY_MILLISECONDS = 250; // typical delay of retries

  private TokenRate rate;
  private double level;
  private double unmet;
  private long refilledAt;

  /** Creates an empty bucket. */
  public QuotaBucket(TokenRate rate, long nowMilliseconds) {
    this.rate = rate;
    this.refilledAt = nowMilliseconds;
  }

  /** Changes the rate from now on; tokens beyond a smaller capacity are dropped. */
  public void setRate(TokenRate newRate, long nowMilliseconds) {
    refill(nowMilliseconds);
    if (newRate.capacity() < rate.capacity()) {
      level = Math.min(level, newRate.capacity());
    }
    rate = newRate;
  }

  /** Takes the tokens for a request if the bucket holds enough; returns whether it did. */
  public boolean tryTake(double tokens, long nowMilliseconds) {
    refill(nowMilliseconds);
    if (level < requiredLevel(tokens)) {
      unmet += tokens;
      return false;
    }
    level -= tokens;
    unmet = Math.max(0, unmet - tokens);
    return true;
  }

  /**
   * Removes up to {@code wanted} tokens for the bucket of another instance; returns the number
   * removed.
   */
  public double lend(double wanted, long nowMilliseconds) {
    refill(nowMilliseconds);
    double lent = Math.max(0, Math.min(wanted, level));
    level -= lent;
    return lent;
  }

  /** Adds tokens that another bucket lent; they may exceed the capacity until they are used. */
  public void add(double tokens, long nowMilliseconds) {
    refill(nowMilliseconds);
    level += tokens;
  }

  /** Takes tokens that were used without a grant; they may be earned later. */
  public void charge(double tokens, long nowMilliseconds) {
    refill(nowMilliseconds);
    level -= tokens;
  }

  /** Returns granted tokens that were not used; tokens beyond the capacity are dropped. */
  public void refund(double tokens, long nowMilliseconds) {
    refill(nowMilliseconds);
    level = Math.max(level, Math.min(rate.capacity(), level + tokens));
  }

  /** Returns the number of available tokens. */
  public double level(long nowMilliseconds) {
    refill(nowMilliseconds);
    return level;
  }

  /** Returns the level up to which the bucket earns tokens. */
  public double capacity() {
    return rate.capacity();
  }

  /** Returns how many tokens are missing for a request; 0 if it can be granted. */
  public double shortfall(double tokens, long nowMilliseconds) {
    refill(nowMilliseconds);
    return Math.max(0, requiredLevel(tokens) - level);
  }

  /**
   * Returns how long it takes to earn the tokens missing for a request, after those of requests
   * that were refused shortly before; at most one minute.
   */
  public long millisecondsUntil(double tokens, long nowMilliseconds) {
    double shortfall = shortfall(tokens, nowMilliseconds);
    if (shortfall <= 0) {
      return 0;
    }
    double seconds = (shortfall + Math.max(0, unmet - tokens)) / rate.perSecond();
    return (long) Math.ceil(Math.min(MAXIMUM_WAIT_SECONDS, seconds) * MILLISECONDS_PER_SECOND);
  }

  private double requiredLevel(double tokens) {
    boolean grantable = tokens <= LARGEST_GRANT_CAPACITIES * rate.capacity();
    return grantable ? Math.min(tokens, NEARLY_FULL_SHARE * rate.capacity()) : tokens;
  }

  private void refill(long nowMilliseconds) {
    double elapsed = Math.max(0, nowMilliseconds - refilledAt);
    double seconds = elapsed / MILLISECONDS_PER_SECOND;
    unmet *= Math.exp(-elapsed / UNMET_DECAY_MILLISECONDS);
    refilledAt = Math.max(refilledAt, nowMilliseconds);
    if (level < rate.capacity()) {
      level = Math.min(rate.capacity(), level + seconds * rate.perSecond());
    }
  }
}
