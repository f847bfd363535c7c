package org.agatefield.daemon.forward;

/**
 * Notices that this process stood still while the rest of the world went on.
 *
 * <p>The monotonic clock does not count the time of a suspended machine, the time of day does. A
 * step of the time of day looks the same; it costs one read of the lease. Confined to one thread.
 */
final class SuspensionDetector {
  private static final long TOLERANCE_MILLISECONDS = 250; // clocks are read at slightly other times

  private long monotonic;
  private long wall;

  /** Creates a detector that has seen the clocks at these readings. */
  SuspensionDetector(long monotonicMilliseconds, long wallMilliseconds) {
    this.monotonic = monotonicMilliseconds;
    this.wall = wallMilliseconds;
  }

  /** Returns whether the clocks went apart since the call before. */
  boolean wasSuspended(long monotonicMilliseconds, long wallMilliseconds) {
    long apart = (wallMilliseconds - wall) - (monotonicMilliseconds - monotonic);
    monotonic = monotonicMilliseconds;
    wall = wallMilliseconds;
    return Math.abs(apart) > TOLERANCE_MILLISECONDS;
  }
}
