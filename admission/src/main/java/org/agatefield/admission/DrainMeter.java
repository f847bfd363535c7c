package org.agatefield.admission;

import java.util.concurrent.TimeUnit;

/**
 * Measures how fast requests for a target leave the queue and how long they then take.
 *
 * <p>Only the time during which requests wait counts, and what was seen longer ago counts less. As
 * long as little was seen, the rate is that at which the embedding instance's requests end.
 * Confined to the thread that holds the queue.
 */
final class DrainMeter {
  private static final double SMOOTHING = 0.1;
  private static final double MEMORY_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);
  private static final double WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

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

  /** Records whether requests wait from now on. */
  void observe(boolean nowBacklogged, long nowNanoseconds) {
    if (backlogged) {
      double elapsed = Math.max(0, nowNanoseconds - observedNanoseconds);
      double kept = Math.exp(-elapsed / WINDOW_NANOSECONDS);
      departures *= kept;
      backloggedNanoseconds = backloggedNanoseconds * kept + elapsed;
    }
    observedNanoseconds = nowNanoseconds;
    backlogged = nowBacklogged;
  }

  /** Records that a request that waited was chosen. */
  void departed() {
    departures++;
  }

  /** Learns from a request that was answered whole. */
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
   * Returns the expected time from leaving the queue to the whole answer. What was measured fades
   * with time: a target that was slow once, and was refused ever since, is tried again.
   */
  long expectedServiceNanoseconds(double cost, long nowNanoseconds) {
    double age = Math.max(0, nowNanoseconds - measuredNanoseconds);
    return (long) (nanosecondsPerCost * cost * Math.exp(-age / MEMORY_NANOSECONDS));
  }

  /**
   * Returns the expected time for {@code requests} to leave the queue, 0 if nothing is known.
   *
   * @param runningOfAll requests of all targets that this instance has at upstreams
   */
  long expectedDrainNanoseconds(double requests, int runningOfAll) {
    double expectedGap = nanosecondsPerCost * meanCost / Math.max(1, runningOfAll);
    double perRequest = (backloggedNanoseconds + expectedGap) / (departures + 1);
    return (long) Math.min(requests * perRequest, (double) TimeUnit.DAYS.toNanos(1));
  }

  private static double smooth(double old, double recordServiceTime) {
    return old + SMOOTHING * (recordServiceTime - old);
  }
}
