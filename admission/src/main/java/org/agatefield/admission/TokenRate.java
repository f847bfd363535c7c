package org.agatefield.admission;

/**
 * What a bucket of tokens earns and holds. Immutable.
 *
 * @param perSecond tokens earned each second
 * @param capacity the most tokens that are kept
 */
public record TokenRate(double perSecond, double capacity) {
  /** Returns the part of it that one of several buckets has. */
  public TokenRate scaled(double share) {
    return new TokenRate(perSecond * share, capacity * share);
  }
}
