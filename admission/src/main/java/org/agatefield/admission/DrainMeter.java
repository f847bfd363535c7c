package org.agatefield.admission;

import java.util.concurrent.TimeUnit;

/**
 * Measures how fast requests for one target leave the queue and how long they then take.
 *
 * <p>Only time during which requests are waiting counts, and older observations weigh less. With
 * few observations, the drain rate is estimated from the rate at which this instance's requests
 * finish. Not thread safe; guarded by the lock of the queue.
 */
final class DrainMeter {
  private static final double SMOOTHING = 0.1;
  private static final double SERVICE_TIME_DECAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);
  private static final double DRAIN_WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

  private int running;
  private double nanosecondsPerCost;
  private double meanCost;
  private double departures;
  private double backloggedNanoseconds;
  private long measuredNanoseconds;
  private long observedNanoseconds;
  private boolean backlogged;

  void started() {
    running++;
  }

  void finished() {
    running = Math.max(0, running - 1);
  }

  /** Records whether requests are waiting from now on. */
  void observe(boolean nowBacklogged, long nowNanoseconds) {
    if (backlogged) {
      double elapsed = Math.max(0, nowNanoseconds - observedNanoseconds);
      double decay = Math.exp(-elapsed / DRAIN_WINDOW_NANOSECONDS);
      departures *= decay;
      backloggedNanoseconds = backloggedNanoseconds * decay + elapsed;
    }
    observedNanoseconds = nowNanoseconds;
    backlogged = nowBacklogged;
  }

  /** Records that a waiting request was selected. */
  void departed() {
    departures++;
  }

  /** Records the service time of a request that was answered completely. */
  void recordServiceTime(double cost, long serviceNanoseconds, long nowNanoseconds) {
    measuredNanoseconds = nowNanoseconds;
    double perCost = serviceNanoseconds / cost;
    nanosecondsPerCost = nanosecondsPerCost == 0 ? perCost : smooth(nanosecondsPerCost, perCost);
    meanCost = meanCost == 0 ? cost : smooth(meanCost, cost);
  }

  int running() {
    return running;
  }

  /**
   * Returns the expected time from leaving the queue to the complete answer. The estimate decays
   * over time, so that a target that was slow once, and whose requests were refused since, is tried
   * again.
   */
  long expectedServiceNanoseconds(double cost, long nowNanoseconds) {
    double age = Math.max(0, nowNanoseconds - measuredNanoseconds);
    return (long) (nanosecondsPerCost * cost * Math.exp(-age / SERVICE_TIME_DECAY_NANOSECONDS));
  }

  /**
   * Returns the expected time for {@code requests} to leave the queue; 0 if nothing was measured.
   *
   * @param totalRunning requests for all targets that this instance has in flight at upstreams
   */
  long expectedDrainNanoseconds(double requests, int totalRunning) {
    double expectedGap = nanosecondsPerCost * meanCost / Math.max(1, totalRunning);
    double perRequest = (backloggedNanoseconds + expectedGap) / (departures + 1);
    return (long) Math.min(requests * perRequest, (double) TimeUnit.DAYS.toNanos(1));
  }

  private static double smooth(double old, double measured) {
    return old + SMOOTHING * (measured - old);
  }
}
