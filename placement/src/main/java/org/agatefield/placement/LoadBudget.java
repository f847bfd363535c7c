package org.agatefield.placement;

import org.agatefield.model.WeightStoreLimits;

/**
 * A token bucket that limits loads from the weight store. Immutable.
 *
 * @param tokens loads that may start now
 * @param refilledAtNanoseconds when tokens were last added
 */
public record LoadBudget(double tokens, long refilledAtNanoseconds) {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Returns a budget that allows one load now. */
  public static LoadBudget startingAt(long nowNanoseconds) {
    return new LoadBudget(1, nowNanoseconds);
  }

  /** Returns the budget refilled up to now; it never exceeds the limit on concurrent loads. */
  public LoadBudget refill(WeightStoreLimits limits, long nowNanoseconds) {
    double seconds = (nowNanoseconds - refilledAtNanoseconds) / NANOSECONDS_PER_SECOND;
    double filled = tokens + seconds * limits.loadsPerSecond();
    return new LoadBudget(Math.min(filled, limits.concurrentLoads()), nowNanoseconds);
  }

  /** Returns the budget after one load was started. */
  public LoadBudget take() {
    return new LoadBudget(tokens - 1, refilledAtNanoseconds);
  }

  /** Returns the budget after one load that was counted did not start. */
  public LoadBudget giveBack() {
    return new LoadBudget(tokens + 1, refilledAtNanoseconds);
  }

  /** Returns the number of loads that may start now. */
  public int available() {
    return (int) Math.max(0, Math.floor(tokens));
  }
}
