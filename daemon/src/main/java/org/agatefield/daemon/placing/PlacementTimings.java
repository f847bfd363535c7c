package org.agatefield.daemon.placing;

import java.time.Duration;

/**
 * The times of the planner's duty. Immutable.
 *
 * @param roundInterval how often it polls engines and decides
 * @param orderTimeout how long an order may go without an answer before it is sent again
 * @param orderQuarantine how long an order may still take effect at an engine that ignores fencing
 *     tokens
 * @param minimumDrain how long every instance needs to learn that a replica drains
 * @param maximumDrain how long requests that run on a draining replica may take to end
 * @param reportLifetime age above which a load report no longer shows that an engine is alive
 */
public record PlacementTimings(
    Duration roundInterval,
    Duration orderTimeout,
    Duration orderQuarantine,
    Duration minimumDrain,
    Duration maximumDrain,
    Duration reportLifetime) {
  /** Returns the terms of a daemon with the given quarantine and longest request. */
  public static PlacementTimings standard(Duration orderQuarantine, Duration longestRequest) {
    return new PlacementTimings(
        Duration.ofMillis(500),
        Duration.ofSeconds(30),
        orderQuarantine,
        Duration.ofSeconds(3),
        longestRequest,
        Duration.ofSeconds(5));
  }
}
