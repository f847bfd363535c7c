package org.agatefield.admission;

import java.util.concurrent.TimeUnit;

/**
 * Measures how fast a target serves requests, by Little's law: requests running, divided by the
 * time that each takes.
 *
 * <p>Confined to the thread that holds the queue.
 */
final class DrainMeter {
  private static final double SMOOTHING = 0.1;

  private int running;
  private double nanosecondsPerCost;
  private double meanCost;

  void started() {
    running++;
  }

  void finished() {
    running = Math.max(0, running - 1);
  }

  /** Learns from a request that was answered whole. */
  void measured(double cost, long serviceNanoseconds) {
    double perCost = serviceNanoseconds / cost;
    nanosecondsPerCost = nanosecondsPerCost == 0 ? perCost : smooth(nanosecondsPerCost, perCost);
    meanCost = meanCost == 0 ? cost : smooth(meanCost, cost);
  }

  int running() {
    return running;
  }

  long expectedServiceNanoseconds(double cost) {
    return (long) (nanosecondsPerCost * cost);
  }

  /** Returns the expected time for {@code requests} to leave the queue, 0 if nothing is known. */
  long expectedDrainNanoseconds(double requests) {
    double perRequest = nanosecondsPerCost * meanCost / Math.max(1, running);
    return (long) Math.min(requests * perRequest, (double) TimeUnit.DAYS.toNanos(1));
  }

  private static double smooth(double old, double measured) {
    return old + SMOOTHING * (measured - old);
  }
}
