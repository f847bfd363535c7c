package org.agatefield.daemon.forward;

import java.util.OptionalLong;
import org.agatefield.forwarding.AnswerTimes;
import org.agatefield.forwarding.RetryMode;
import org.agatefield.forwarding.Route;

/**
 * How far the planned stop of this instance has advanced, and which requests it still outlasts.
 *
 * <p>Invariants: the instance serves, then leaves, then refuses new requests, and never goes back;
 * a request that must not be repeated counts as outlasted only if its deadline does not lie beyond
 * the stop. The stop is advanced by any thread; the answer times are confined to one event loop.
 */
final class StopState {
  private final AnswerTimes answerTimes = new AnswerTimes();
  private volatile long stopsAt = Long.MAX_VALUE;
  private volatile boolean refusing;

  /** Begins to leave; open requests are ended at the given time, in monotonic milliseconds. */
  void leave(long endMilliseconds) {
    stopsAt = endMilliseconds;
  }

  void refuse() {
    refusing = true;
  }

  /** Returns whether new connections should go to other instances. */
  boolean isLeaving() {
    return stopsAt != Long.MAX_VALUE;
  }

  /** Returns whether new requests are refused because the process is about to end. */
  boolean isRefusing() {
    return refusing;
  }

  /** Records how long a request took until its answer was complete. */
  void answered(Route route, long milliseconds, long now) {
    answerTimes.record(route.name(), milliseconds, now);
  }

  /**
   * Returns whether a request that is sent to a runner now is answered before this instance stops:
   * by its deadline, or, if it may be repeated, if it takes as long as the longest of its route.
   */
  boolean outlasts(Route route, long deadline, long now) {
    if (deadline <= stopsAt) {
      return true;
    }
    if (route.retryMode() == RetryMode.NEVER) {
      return false;
    }
    OptionalLong longest = answerTimes.longestMilliseconds(route.name(), now);
    return longest.isPresent() && now + longest.getAsLong() <= stopsAt;
  }
}
