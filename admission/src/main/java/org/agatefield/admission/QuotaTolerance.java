package org.agatefield.admission;

/**
 * How far a client account may exceed its quota before its operator minds. Immutable.
 *
 * <p>Over each window, up to {@code (perSecond * window + burst) * (1 + overage) + slack} is
 * tolerated. Most of what that leaves beside the quota is handed out, so that uneven arrivals are
 * not refused below the quota; the rest covers what buckets hand out twice while instances disagree
 * on who holds them.
 *
 * @param windowSeconds the span that is counted
 * @param overage the tolerated part of the quota beside it
 * @param slack what is tolerated beside that, in the quota's unit
 */
public record QuotaTolerance(double windowSeconds, double overage, double slack) {
  private static final double USED_SHARE = 0.75;

  /** Returns what the buckets of one account may earn and hold together. */
  public TokenRate rate(double perSecond, double burst) {
    double beside = overage * (perSecond * windowSeconds + burst) + slack;
    return new TokenRate(perSecond, burst + USED_SHARE * beside);
  }
}
