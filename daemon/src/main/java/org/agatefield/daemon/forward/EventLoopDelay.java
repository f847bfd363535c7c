package org.agatefield.daemon.forward;

/**
 * Estimates how far an event loop is behind, from timers that fire late.
 *
 * <p>An instance with too little processor time leaves bytes waiting in sockets, so that requests
 * are older than the time at which they are read. Invariant: the estimate exceeds the true arrival
 * time by at most {@link #TOLERATED_MILLISECONDS} plus one timer period, provided that a connection
 * is read no later than the second firing after it was opened. Confined to one thread.
 */
final class EventLoopDelay {
  /** Delay of a timer above which the loop counts as behind. */
  static final long TOLERATED_MILLISECONDS = 150; // A machine may pause for a tenth of a second.

  private static final long ON_TIME = Long.MAX_VALUE;
  private static final double SMOOTHING = 0.2; // About half a second of timers.

  private long dueAt = Long.MAX_VALUE;
  private long lastLateDue = ON_TIME;
  private long previousLateDue = ON_TIME;
  private double smoothed;

  /** Records when the timer is due, in monotonic milliseconds. */
  void timerScheduled(long dueMilliseconds) {
    dueAt = dueMilliseconds;
  }

  /** Records that the timer fired. */
  void timerFired(long nowMilliseconds) {
    if (dueAt != Long.MAX_VALUE) {
      smoothed += SMOOTHING * (Math.max(0, nowMilliseconds - dueAt) - smoothed);
    }
    previousLateDue = lastLateDue;
    lastLateDue = isBehind(nowMilliseconds) ? dueAt : ON_TIME;
  }

  /** Returns how late timers have fired lately, on average. */
  double smoothedMilliseconds() {
    return smoothed;
  }

  /** Returns whether the timer is overdue by more than the tolerance. */
  boolean isBehind(long nowMilliseconds) {
    return nowMilliseconds - TOLERATED_MILLISECONDS > dueAt;
  }

  /** Returns the earliest time at which bytes read now may have arrived. */
  long earliestArrival(long nowMilliseconds) {
    long earliest = Math.min(nowMilliseconds, Math.min(lastLateDue, previousLateDue));
    return isBehind(nowMilliseconds) ? Math.min(earliest, dueAt) : earliest;
  }
}
