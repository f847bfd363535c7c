package org.agatefield.admission;

import java.util.function.IntSupplier;

/**
 * Tracks the largest number of live instances observed recently.
 *
 * <p>Budgets shared by the instances are divided by it, so that the instances together stay within
 * them even while a network partition hides some of them from the others. Not thread safe.
 */
public final class FleetSize {
  /** The interval at which {@link #sample} has to be called so that no fleet size is missed. */
  public static final long SAMPLE_INTERVAL_MILLISECONDS = 240;

  private static final long RETENTION_MILLISECONDS = 60_000; // longer than most network partitions

  private final IntSupplier alive;
  private int recentMaximum = 1;
  private long maximumAt;

  /** Creates a tracker; {@code alive} returns the number of instances currently seen alive. */
  public FleetSize(IntSupplier alive) {
    this.alive = alive;
  }

  /** Samples the number of live instances. */
  public void sample(long nowMilliseconds) {
    int seen = alive.getAsInt();
    if (seen >= recentMaximum || nowMilliseconds - maximumAt > RETENTION_MILLISECONDS) {
      recentMaximum = Math.max(1, seen);
      maximumAt = nowMilliseconds;
    }
  }

  /** Returns the largest number of live instances observed recently, at least 1. */
  public int recentMaximum(long nowMilliseconds) {
    sample(nowMilliseconds);
    return recentMaximum;
  }
}
