package org.agatefield.routing;

/**
 * Estimates how much longer requests take on a fully loaded upstream than on a partly loaded one.
 *
 * <p>Engines that batch requests answer each of them faster while they have few. A measured time
 * therefore indicates the share of the upstream that a request needs only after it is scaled to
 * full load. Not thread safe.
 */
public final class LoadSlowdown {
  private static final int BUCKETS = 8;
  private static final double SMOOTHING = 0.05;
  private static final double MAXIMUM_FACTOR = 8;

  private final double[] timePerCost = new double[BUCKETS];

  /**
   * Records the service time of an answered request.
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
   * Returns the factor that scales a time measured at {@code usedShare} to full load, 1 or more.
   */
  public double fullLoadFactor(double usedShare) {
    double current = timePerCost[bucket(usedShare)];
    double slowest = current;
    for (double time : timePerCost) {
      slowest = Math.max(slowest, time);
    }
    return current == 0 ? 1 : Math.min(MAXIMUM_FACTOR, slowest / current);
  }

  private static int bucket(double usedShare) {
    return (int) Math.max(0, Math.min(BUCKETS - 1, usedShare * BUCKETS));
  }
}
