package org.agatefield.admission;

import java.util.concurrent.TimeUnit;

/** Measures an exponentially decaying rate of events. Not thread safe. */
public final class DecayingRate {
  private final double timeConstantNanoseconds;
  private double weight;
  private long lastNanoseconds;
  private boolean initialized;

  /**
   * Creates a rate of 0; the weight of an event falls by a factor of e within {@code
   * timeConstantNanoseconds}.
   */
  public DecayingRate(long timeConstantNanoseconds) {
    this.timeConstantNanoseconds = timeConstantNanoseconds;
  }

  /** Records events with a total weight of {@code amount}. */
  public void add(double amount, long nowNanoseconds) {
    decay(nowNanoseconds);
    weight += amount;
  }

  /** Returns the rate of events per second. */
  public double perSecond(long nowNanoseconds) {
    decay(nowNanoseconds);
    return weight / timeConstantNanoseconds * TimeUnit.SECONDS.toNanos(1);
  }

  private void decay(long nowNanoseconds) {
    if (initialized) {
      long elapsed = Math.max(0, nowNanoseconds - lastNanoseconds);
      weight *= Math.exp(-elapsed / timeConstantNanoseconds);
    }
    initialized = true;
    lastNanoseconds = nowNanoseconds;
  }
}
