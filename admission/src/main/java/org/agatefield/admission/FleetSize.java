package org.agatefield.admission;

import java.util.function.IntSupplier;

/**
 * The most instances that were seen alive lately.
 *
 * <p>Budgets that instances share are divided by it, so that the instances together keep to them
 * also while they do not see each other. Confined to one thread.
 */
public final class FleetSize {
  private static final long MEMORY_MILLISECONDS =
      60_000; // longer than a part of a fleet is cut off

  private final IntSupplier alive;
  private int most = 1;
  private long mostAt;

  /** Creates the size of a fleet of which {@code alive} tells the instances seen now. */
  public FleetSize(IntSupplier alive) {
    this.alive = alive;
  }

  /** Returns the most instances, at least 1. */
  public int most(long nowMilliseconds) {
    int seen = alive.getAsInt();
    if (seen >= most || nowMilliseconds - mostAt > MEMORY_MILLISECONDS) {
      most = Math.max(1, seen);
      mostAt = nowMilliseconds;
    }
    return most;
  }
}
