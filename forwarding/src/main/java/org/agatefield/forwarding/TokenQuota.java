package org.agatefield.forwarding;

/**
 * How much work a client account may ask for. Immutable.
 *
 * @param perSecond tokens, or requests if {@code unit} says so, that are earned each second
 * @param burst what may be asked for at once beside that
 * @param unit what is counted
 * @param plainTokens what a request counts that names no tokens
 */
public record TokenQuota(double perSecond, double burst, Unit unit, int plainTokens) {
  /** What a quota counts. */
  public enum Unit {
    /** Each request counts one. */
    REQUESTS,
    /** A request counts its prompt tokens and the most tokens that it may generate. */
    TOKENS
  }

  /** Returns what a request counts. */
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
