package org.agatefield.admission;

import java.util.concurrent.TimeUnit;

/**
 * The rate of events, each weighing less the longer ago it was. Confined to one thread at a time.
 */
public final class DecayingRate {
  private final double timeConstantNanoseconds;
  private double weight;
  private long lastNanoseconds;
  private boolean used;

  /** Creates a rate of 0 whose events count e times less after {@code timeConstantNanoseconds}. */
  public DecayingRate(long timeConstantNanoseconds) {
    this.timeConstantNanoseconds = timeConstantNanoseconds;
  }

  /** Records {@code amount} of events. */
  public void add(double amount, long nowNanoseconds) {
    decay(nowNanoseconds);
    weight += amount;
  }

  /** Returns the rate of events a second. */
  public double perSecond(long nowNanoseconds) {
    decay(nowNanoseconds);
    return weight / timeConstantNanoseconds * TimeUnit.SECONDS.toNanos(1);
  }

  private void decay(long nowNanoseconds) {
    if (used) {
      long elapsed = Math.max(0, nowNanoseconds - lastNanoseconds);
      weight *= Math.exp(-elapsed / timeConstantNanoseconds);
    }
    used = true;
    lastNanoseconds = nowNanoseconds;
  }
}
