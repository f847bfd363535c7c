package org.agatefield.daemon.forward;

/**
 * Detects that this process was suspended.
 *
 * <p>The monotonic clock does not count the time of a suspended machine, the wall clock does. A
 * step of the wall clock looks the same; it costs one read of the lease. Confined to one thread.
 */
final class SuspensionDetector {
  // The two clocks are not read at exactly the same time.
  private static final long TOLERANCE_MILLISECONDS = 250;

  private long lastMonotonic;
  private long lastWall;

  /** Creates a detector with the current clock readings. */
  SuspensionDetector(long monotonicMilliseconds, long wallMilliseconds) {
    this.lastMonotonic = monotonicMilliseconds;
    this.lastWall = wallMilliseconds;
  }

  /** Returns whether the clocks have diverged since the previous call. */
  boolean wasSuspended(long monotonicMilliseconds, long wallMilliseconds) {
    long divergence = (wallMilliseconds - lastWall) - (monotonicMilliseconds - lastMonotonic);
    lastMonotonic = monotonicMilliseconds;
    lastWall = wallMilliseconds;
    return Math.abs(divergence) > TOLERANCE_MILLISECONDS;
  }
}
