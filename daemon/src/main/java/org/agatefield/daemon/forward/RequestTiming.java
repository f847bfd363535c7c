package org.agatefield.daemon.forward;

import java.util.OptionalLong;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.SendPolicy;

/**
 * The times by which one request must be served, and those of its progress.
 *
 * <p>All times are monotonic milliseconds. Invariant: no limit lies after the deadline. Confined to
 * one event loop.
 */
final class RequestTiming {
  // Transfer time of the response to the caller.
  private static final long RESPONSE_MARGIN_MILLISECONDS = 15;
  // Covers a demand report, a planning run and a load from disk.
  private static final long PLANNING_MILLISECONDS = 1_500;
  private static final long FIRST_EVENT_MILLISECONDS = 250;

  private final Route route;
  private final long arrivedAt;
  private final long deadline;
  private OptionalLong firstEventAt = OptionalLong.empty();
  private OptionalLong firstSentAt = OptionalLong.empty();
  private long waitsSince;
  private long seeksRunnerSince;

  /**
   * Creates the timing of a request that has arrived.
   *
   * @param callerMilliseconds how long the caller waits, if it says so
   */
  RequestTiming(Route route, OptionalLong callerMilliseconds, long arrivedAt) {
    this.route = route;
    this.arrivedAt = arrivedAt;
    this.waitsSince = arrivedAt;
    this.seeksRunnerSince = arrivedAt;
    long allowed =
        Math.min(
            route.timeoutMilliseconds(), callerMilliseconds.orElse(route.timeoutMilliseconds()));
    this.deadline = arrivedAt + Math.max(1, allowed - RESPONSE_MARGIN_MILLISECONDS);
  }

  long deadline() {
    return deadline;
  }

  long remainingMilliseconds(long now) {
    return deadline - now;
  }

  long elapsedMilliseconds(long now) {
    return now - arrivedAt;
  }

  /** Returns how long the request may take. */
  long allowedMilliseconds() {
    return deadline - arrivedAt;
  }

  /** Returns how long the first event of a stream took; -1 if there was none. */
  long firstEventMilliseconds() {
    return firstEventAt.isPresent() ? firstEventAt.getAsLong() - arrivedAt : -1;
  }

  /** Records that the request is sent to a runner, for the first time or again. */
  void sent(long now) {
    if (firstSentAt.isEmpty()) {
      firstSentAt = OptionalLong.of(now);
    }
  }

  /** Returns how long it took until the request was first sent to a runner; -1 if it was not. */
  long sendMilliseconds() {
    return firstSentAt.isPresent() ? firstSentAt.getAsLong() - arrivedAt : -1;
  }

  /** Records that an event of the response is passed on. */
  void eventSent(long now) {
    waitsSince = now;
    if (firstEventAt.isEmpty()) {
      firstEventAt = OptionalLong.of(now);
    }
  }

  /** Returns when the answer has to begin to meet its objective. */
  long objectiveAt() {
    return arrivedAt + route.objectiveMilliseconds();
  }

  /** Records that a runner is sought, for the first time or again. */
  void seeksRunner(long now) {
    seeksRunnerSince = now;
  }

  /** Returns when the caller stops waiting for the response, or for the next event of a stream. */
  long nextEventBy() {
    return Math.min(deadline, waitsSince + ResponseStartTimeout.milliseconds(route));
  }

  /**
   * Returns how long the caller waits in all, or as long as there is no event, for the first one.
   */
  long waitMilliseconds() {
    return nextEventBy() - arrivedAt;
  }

  /** Returns whether a runner that can begin at a time will produce the next event in time. */
  boolean isInTime(long beginsAt) {
    return beginsAt + FIRST_EVENT_MILLISECONDS <= nextEventBy();
  }

  /** Returns when a load that is not planned yet may be done. */
  long plannedBy() {
    return seeksRunnerSince + PLANNING_MILLISECONDS;
  }

  /** Returns the urgency of the request for the decision whether it is sent. */
  SendPolicy.Timing urgency(long now) {
    return new SendPolicy.Timing(
        route.objectiveMilliseconds(), Math.max(0, objectiveAt() - now), nextEventBy() - now);
  }
}
