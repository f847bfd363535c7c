package org.agatefield.daemon.placing;

import java.time.Duration;

/**
 * Defines the intervals and timeouts of the placement controller. Immutable.
 *
 * @param roundInterval interval at which engines are polled and placements are planned
 * @param orderTimeout how long an order may remain without a response before it is sent again
 * @param orderQuarantine how long an order may still take effect at an engine that ignores fencing
 *     tokens
 * @param minimumDrain how long it takes until every instance knows that a replica is draining
 * @param maximumDrain maximum time for requests on a draining replica to finish
 * @param reportLifetime age above which a load report no longer proves that an engine is alive
 */
public record PlacementTimings(
    Duration roundInterval,
    Duration orderTimeout,
    Duration orderQuarantine,
    Duration minimumDrain,
    Duration maximumDrain,
    Duration reportLifetime) {
  /** Returns the default timings with the given quarantine and maximum request duration. */
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
