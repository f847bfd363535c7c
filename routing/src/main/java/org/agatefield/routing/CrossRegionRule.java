package org.agatefield.routing;

/**
 * Decides whether waiting requests may go to another region although their own holds the version.
 *
 * @param crossingNanoseconds what a crossing is worth, latency and bytes together
 */
public record CrossRegionRule(long crossingNanoseconds) {
  /** Returns whether waiting in the own region is expected to take longer than crossing costs. */
  public boolean isWorthwhile(long localWaitNanoseconds) {
    return localWaitNanoseconds > crossingNanoseconds;
  }
}
