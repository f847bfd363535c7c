package org.agatefield.admission;

/**
 * A token bucket that first attempts fill and further attempts empty.
 *
 * <p>Invariant: of any number of attempts, at most {@code reserve + share * first attempts} are
 * further ones. Confined to the thread that holds it.
 */
public final class RetryBudget implements RetryPolicy {
  private final double share;
  private final double reserve;
  private double tokens;

  /**
   * Creates a full bucket.
   *
   * @param share further attempts that each first attempt allows, from 0 to 1
   * @param reserve most further attempts that can be saved up
   */
  public RetryBudget(double share, double reserve) {
    this.share = share;
    this.reserve = reserve;
    this.tokens = reserve;
  }

  @Override
  public void firstAttempt() {
    tokens = Math.min(reserve, tokens + share);
  }

  @Override
  public boolean mayRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
