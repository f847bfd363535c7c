package org.agatefield.forwarding;

/**
 * The quota of a client account. Immutable.
 *
 * @param perSecond tokens, or requests depending on {@code unit}, earned per second
 * @param burst additional tokens or requests that may be used at once
 * @param unit the unit of the quota
 * @param plainTokens the cost of a request that declares no tokens
 */
public record TokenQuota(double perSecond, double burst, Unit unit, int plainTokens) {
  /** The unit of a quota. */
  public enum Unit {
    /** Each request costs one. */
    REQUESTS,
    /** A request costs its prompt tokens plus the maximum number of tokens that it may generate. */
    TOKENS
  }

  /** Returns the cost of a request in the unit of the quota. */
  public double cost(RequestMetadata terms) {
    if (unit == Unit.REQUESTS) {
      return 1;
    }
    return terms
        .tokenUsage()
        .map(usage -> (double) usage.promptTokens() + usage.outputTokens())
        .orElse((double) plainTokens);
  }
}
