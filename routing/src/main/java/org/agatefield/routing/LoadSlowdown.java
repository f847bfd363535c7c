package org.agatefield.routing;

/**
 * Learns how much longer requests take on a full upstream than on one that is partly used.
 *
 * <p>Engines that batch answer each request faster while they have few, so the time that a request
 * took says little about the share of the upstream that it needs, unless it is stretched to full
 * load. Confined to one thread at a time.
 */
public final class LoadSlowdown {
  private static final int BUCKETS = 8;
  private static final double SMOOTHING = 0.05;
  private static final double MAXIMUM_STRETCH = 8;

  private final double[] timePerCost = new double[BUCKETS];

  /**
   * Learns from an answered request.
   *
   * @param usedShare requests at the upstream as a share of its limit
   */
  public void recordServiceTime(double usedShare, double nanosecondsPerCost) {
    int bucket = bucket(usedShare);
    double old = timePerCost[bucket];
    timePerCost[bucket] =
        old == 0 ? nanosecondsPerCost : old + SMOOTHING * (nanosecondsPerCost - old);
  }

  /**
   * Returns by what a time at {@code usedShare} is multiplied to be that at full load, 1 or more.
   */
  public double fullLoadFactor(double usedShare) {
    double own = timePerCost[bucket(usedShare)];
    double slowest = own;
    for (double time : timePerCost) {
      slowest = Math.max(slowest, time);
    }
    return own == 0 ? 1 : Math.min(MAXIMUM_STRETCH, slowest / own);
  }

  private static int bucket(double usedShare) {
    return (int) Math.max(0, Math.min(BUCKETS - 1, usedShare * BUCKETS));
  }
}
