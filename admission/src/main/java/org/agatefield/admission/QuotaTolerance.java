package org.agatefield.admission;

/**
 * Defines by how much a client account may exceed its quota. Immutable.
 *
 * <p>Over each window, up to {@code (perSecond * window + burst) * (1 + overage) + slack} is
 * tolerated. Most of the tolerance beyond the quota is added to the capacity of the buckets, so
 * that uneven arrivals are not refused below the quota; the rest covers tokens granted twice while
 * instances disagree on which of them holds the buckets.
 *
 * @param windowSeconds the length of the window
 * @param overage the tolerated excess as a share of the quota
 * @param slack the excess tolerated in addition, in the quota's unit
 */
public record QuotaTolerance(double windowSeconds, double overage, double slack) {
  private static final double GRANTED_TOLERANCE_SHARE = 0.75;

  /** Returns the total rate and capacity of all buckets of one account. */
  public TokenRate rate(double perSecond, double burst) {
    double tolerance = overage * (perSecond * windowSeconds + burst) + slack;
    return new TokenRate(perSecond, burst + GRANTED_TOLERANCE_SHARE * tolerance);
  }
}
