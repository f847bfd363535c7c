package org.agatefield.model;

/**
 * The recent demand for a deployment from one region, of one or several instances. Immutable.
 *
 * @param deployment the deployment
 * @param region the region of the entry instances that measured it
 * @param requestsPerSecond requests sent to upstreams per second, not counting retries
 * @param refusedPerSecond requests refused per second for lack of capacity, not counting retries
 * @param busySecondsPerSecond runner seconds used per second
 */
public record DemandSample(
    String deployment,
    String region,
    double requestsPerSecond,
    double refusedPerSecond,
    double busySecondsPerSecond) {
  /** Returns the sum of two samples of the same deployment and region. */
  public DemandSample plus(DemandSample other) {
    return new DemandSample(
        deployment,
        region,
        requestsPerSecond + other.requestsPerSecond,
        refusedPerSecond + other.refusedPerSecond,
        busySecondsPerSecond + other.busySecondsPerSecond);
  }
}
