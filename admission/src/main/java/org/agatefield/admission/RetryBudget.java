package org.agatefield.admission;

/**
 * A token bucket that limits retries to a share of the first attempts.
 *
 * <p>Invariant: of any number of attempts, at most {@code reserve + share * first attempts} are
 * retries. Not thread safe.
 */
public final class RetryBudget implements RetryPolicy {
  private final double share;
  private final double reserve;
  private double tokens;

  /**
   * Creates a full bucket.
   *
   * @param share retries earned by each first attempt, from 0 to 1
   * @param reserve the maximum number of retries that can be accumulated
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
