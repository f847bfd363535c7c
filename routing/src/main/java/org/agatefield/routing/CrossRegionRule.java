package org.agatefield.routing;

/**
 * Decides whether waiting requests may be sent to another region although their own region holds
 * the version.
 *
 * @param crossingNanoseconds the cost of a crossing expressed as time, latency and bytes together
 */
public record CrossRegionRule(long crossingNanoseconds) {
  /** Returns whether waiting in the own region is expected to take longer than a crossing costs. */
  public boolean isWorthwhile(long localWaitNanoseconds) {
    return localWaitNanoseconds > crossingNanoseconds;
  }
}
