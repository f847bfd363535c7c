package org.agatefield.model;

/**
 * The recent demand for a deployment from one region. Immutable; samples of several instances are
 * added up.
 *
 * @param deployment the deployment
 * @param region the region of the entry instances that measured it
 * @param requestsPerSecond requests that were sent to an upstream each second, retries not counted
 * @param refusedPerSecond requests refused each second for want of capacity, retries not counted
 * @param busySecondsPerSecond runner seconds spent on it each second
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
