package org.agatefield.knowledge;

/**
 * A value with the time at which it was true. Immutable.
 *
 * @param value the value
 * @param atMilliseconds when it was observed, in this process's monotonic milliseconds
 */
public record Observed<V>(V value, long atMilliseconds) {
  /** Returns the time since the observation; 0 for one that is stamped in the future. */
  public long ageMilliseconds(long nowMilliseconds) {
    return Math.max(0, nowMilliseconds - atMilliseconds);
  }
}
