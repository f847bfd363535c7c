package org.agatefield.cost;

/**
 * Weighted observations of a positive rate, as a sum that combines with others by addition.
 * Immutable.
 *
 * @param weight the number of observations, each counted by its reliability
 * @param logarithms the weighted sum of the logarithms of the observations
 */
public record RateSum(double weight, double logarithms) {
  /** No observation. */
  public static final RateSum NONE = new RateSum(0, 0);

  /** Returns a sum of observations whose mean is known. */
  public static RateSum ofMean(double weight, double meanLogarithm) {
    return new RateSum(weight, weight * meanLogarithm);
  }

  /** Returns the sum of both observations. */
  public RateSum plus(RateSum other) {
    return new RateSum(weight + other.weight, logarithms + other.logarithms);
  }

  /** Returns the same mean with a weight that is multiplied by {@code factor}. */
  public RateSum times(double factor) {
    return new RateSum(weight * factor, logarithms * factor);
  }

  /** Returns the mean of the logarithms; 0 without observations. */
  public double meanLogarithm() {
    return weight <= 0 ? 0 : logarithms / weight;
  }
}
