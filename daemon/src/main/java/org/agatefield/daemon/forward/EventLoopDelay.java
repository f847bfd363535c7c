package org.agatefield.daemon.forward;

/**
 * How far an event loop is behind, told by a timer that fires late.
 *
 * <p>Answers the load pattern of an instance that gets less processor time than its callers need:
 * bytes wait in sockets, so that a request is older than the moment at which it is read. Invariant:
 * the estimate is never later than the true arrival by more than {@link #TOLERATED_MILLISECONDS}
 * and one period of the timer, as long as a connection is read at the second firing after it was
 * opened. Confined to one thread.
 */
final class EventLoopDelay {
  /** A timer that is later than this shows that the loop is behind. */
  static final long TOLERATED_MILLISECONDS = 150; // a machine may pause a tenth of a second

  private static final long ON_TIME = Long.MAX_VALUE;

  private long dueAt = Long.MAX_VALUE;
  private long lastLateDue = ON_TIME;
  private long lateDueBefore = ON_TIME;

  /** The timer was set; it is to fire at a time of the monotonic clock. */
  void expectAt(long dueMilliseconds) {
    dueAt = dueMilliseconds;
  }

  /** The timer fired. */
  void fired(long nowMilliseconds) {
    lateDueBefore = lastLateDue;
    lastLateDue = isBehind(nowMilliseconds) ? dueAt : ON_TIME;
  }

  /** Returns whether the loop has not come to its timers for too long. */
  boolean isBehind(long nowMilliseconds) {
    return nowMilliseconds - TOLERATED_MILLISECONDS > dueAt;
  }

  /** Returns since when bytes that are read now may have been waiting. */
  long earliestArrival(long nowMilliseconds) {
    long earliest = Math.min(nowMilliseconds, Math.min(lastLateDue, lateDueBefore));
    return isBehind(nowMilliseconds) ? Math.min(earliest, dueAt) : earliest;
  }
}
