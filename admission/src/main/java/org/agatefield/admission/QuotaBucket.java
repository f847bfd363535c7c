package org.agatefield.admission;

/**
 * Tokens of one client account that one instance may grant.
 *
 * <p>Answers the load of an account that asks for many times its quota at many instances.
 * Invariant: over any span, what is granted or lent is at most the capacity and what is earned in
 * the span, and what was {@link #add added}; a grant larger than the capacity takes what is earned
 * later. A new bucket is empty, so that a holder that starts again, or takes over, grants nothing
 * that the one before it may have granted already. Confined to one thread.
 */
public final class QuotaBucket {
  // A request larger than the capacity is granted by a bucket that is nearly full.
  private static final double NEARLY_FULL = 0.95;
  private static final double LARGEST_REQUEST = 2; // capacities; a larger one needs a loan
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private static final double UNMET_MILLISECONDS = 250; // refused requests come back about then

  private TokenRate rate;
  private double level;
  private double unmet;
  private long filledAt;

  /** Creates an empty bucket. */
  public QuotaBucket(TokenRate rate, long nowMilliseconds) {
    this.rate = rate;
    this.filledAt = nowMilliseconds;
  }

  /** Takes another rate from now on; what is kept beyond its capacity is dropped. */
  public void setRate(TokenRate changed, long nowMilliseconds) {
    fill(nowMilliseconds);
    if (changed.capacity() < rate.capacity()) {
      level = Math.min(level, changed.capacity());
    }
    rate = changed;
  }

  /** Takes tokens for a request, if they are there. */
  public boolean tryTake(double tokens, long nowMilliseconds) {
    fill(nowMilliseconds);
    if (level < needed(tokens)) {
      unmet += tokens;
      return false;
    }
    level -= tokens;
    unmet = Math.max(0, unmet - tokens);
    return true;
  }

  /** Takes what there is of the wanted tokens, for the bucket of another instance. */
  public double lend(double wanted, long nowMilliseconds) {
    fill(nowMilliseconds);
    double lent = Math.max(0, Math.min(wanted, level));
    level -= lent;
    return lent;
  }

  /** Takes in tokens that another bucket lent; they may exceed the capacity until they are used. */
  public void add(double tokens, long nowMilliseconds) {
    fill(nowMilliseconds);
    level += tokens;
  }

  /** Takes tokens back that were granted and not used; what exceeds the capacity is dropped. */
  public void refund(double tokens, long nowMilliseconds) {
    fill(nowMilliseconds);
    level = Math.max(level, Math.min(rate.capacity(), level + tokens));
  }

  /** Returns the tokens that are there. */
  public double level(long nowMilliseconds) {
    fill(nowMilliseconds);
    return level;
  }

  /** Returns the most tokens that it earns. */
  public double capacity() {
    return rate.capacity();
  }

  /** Returns how many tokens a request lacks; 0 if it can have them. */
  public double shortfall(double tokens, long nowMilliseconds) {
    fill(nowMilliseconds);
    return Math.max(0, needed(tokens) - level);
  }

  /** Returns how long it takes to earn what a request lacks, behind those that lately got none. */
  public long millisecondsUntil(double tokens, long nowMilliseconds) {
    double shortfall = shortfall(tokens, nowMilliseconds);
    if (shortfall <= 0) {
      return 0;
    }
    double seconds = (shortfall + Math.max(0, unmet - tokens)) / Math.max(1, rate.perSecond());
    return (long) Math.ceil(seconds * MILLISECONDS_PER_SECOND);
  }

  private double needed(double tokens) {
    boolean grantable = tokens <= LARGEST_REQUEST * rate.capacity();
    return grantable ? Math.min(tokens, NEARLY_FULL * rate.capacity()) : tokens;
  }

  private void fill(long nowMilliseconds) {
    double elapsed = Math.max(0, nowMilliseconds - filledAt);
    double seconds = elapsed / MILLISECONDS_PER_SECOND;
    unmet *= Math.exp(-elapsed / UNMET_MILLISECONDS);
    filledAt = Math.max(filledAt, nowMilliseconds);
    if (level < rate.capacity()) {
      level = Math.min(rate.capacity(), level + seconds * rate.perSecond());
    }
  }
}
