package org.agatefield.cost;

/**
 * The expected length of an output. Immutable.
 *
 * @param tokens the expected number of tokens
 * @param spread the factor by which two thirds of the outputs differ from it at most; at least 1
 */
public record OutputEstimate(double tokens, double spread) {
  /** Returns a number of tokens that most outputs do not exceed. */
  public double carefulTokens() {
    return tokens * spread;
  }
}
