package org.agatefield.admission;

/**
 * The refill rate and the capacity of a token bucket. Immutable.
 *
 * @param perSecond tokens earned per second
 * @param capacity the level at which no more tokens are earned
 */
public record TokenRate(double perSecond, double capacity) {
  /** Returns the rate of a bucket that has {@code share} of this rate and capacity. */
  public TokenRate scaled(double share) {
    return new TokenRate(perSecond * share, capacity * share);
  }
}
