package org.agatefield.admission;

import java.util.function.IntSupplier;

/**
 * The most instances that were seen alive lately.
 *
 * <p>Budgets that instances share are divided by it, so that the instances together keep to them
 * also while they do not see each other. Confined to one thread.
 */
public final class FleetSize {
  /** How often {@link #sample} is to be called, so that no size is missed. */
  public static final long SAMPLE_INTERVAL_MILLISECONDS = 240;

  private static final long MEMORY_MILLISECONDS = 60_000; // longer than most cuts last

  private final IntSupplier alive;
  private int recentMaximum = 1;
  private long mostAt;

  /** Creates the size of a fleet of which {@code alive} tells the instances seen now. */
  public FleetSize(IntSupplier alive) {
    this.alive = alive;
  }

  /** Takes note of the instances that are seen now. */
  public void sample(long nowMilliseconds) {
    int seen = alive.getAsInt();
    if (seen >= recentMaximum || nowMilliseconds - mostAt > MEMORY_MILLISECONDS) {
      recentMaximum = Math.max(1, seen);
      mostAt = nowMilliseconds;
    }
  }

  /** Returns the most instances, at least 1. */
  public int recentMaximum(long nowMilliseconds) {
    sample(nowMilliseconds);
    return recentMaximum;
  }
}
