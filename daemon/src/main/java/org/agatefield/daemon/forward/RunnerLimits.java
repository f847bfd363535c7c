package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.agatefield.daemon.forward.wire.RateLimitAnnouncement;
import org.agatefield.daemon.forward.wire.ResponseKind;
import org.agatefield.forwarding.RunnerEntry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tracks the request rates to which runners limit all instances together.
 *
 * <p>Invariants: the latest announcement of a runner process applies; a response without a limit
 * ends one only if its request was sent after the limit was last announced, since responses may
 * overtake each other; another process under the same identifier is another runner. Confined to one
 * event loop.
 */
final class RunnerLimits {
  private static final Logger LOGGER = LogManager.getLogger(RunnerLimits.class);

  private final Map<String, Limit> limits = new HashMap<>();

  private record Limit(
      long startTimeMilliseconds, double requestsPerSecond, long announcedAtMilliseconds) {}

  /**
   * Records what the response to a request says about its runner's limit.
   *
   * @param sentAtMilliseconds when the request was sent, in monotonic milliseconds
   */
  void responseReceived(
      RunnerEntry runner,
      ResponseKind kind,
      RateLimitAnnouncement announcement,
      long sentAtMilliseconds) {
    if (kind == ResponseKind.UNUSABLE || kind == ResponseKind.MISDIRECTED) {
      return; // The response may come from another runner.
    }
    long now = MonotonicClock.milliseconds();
    if (announcement instanceof RateLimitAnnouncement.Limited limited) {
      set(runner, limited.requestsPerSecond(), now);
    } else if (announcement instanceof RateLimitAnnouncement.NotLimited
        && kind != ResponseKind.REJECTED) {
      end(runner, sentAtMilliseconds);
    }
  }

  /** Returns the limit of a runner in requests per second; empty if it has none. */
  OptionalDouble requestsPerSecond(RunnerEntry runner) {
    Limit limit = limits.get(runner.id());
    return limit != null && limit.startTimeMilliseconds() == runner.startTimeMilliseconds()
        ? OptionalDouble.of(limit.requestsPerSecond())
        : OptionalDouble.empty();
  }

  /** Returns the number of runners with a limit. */
  int count() {
    return limits.size();
  }

  /** Removes a runner that no longer exists. */
  void forget(String runner) {
    limits.remove(runner);
  }

  private void set(RunnerEntry runner, double requestsPerSecond, long now) {
    OptionalDouble before = requestsPerSecond(runner);
    limits.put(runner.id(), new Limit(runner.startTimeMilliseconds(), requestsPerSecond, now));
    if (before.isEmpty() || before.getAsDouble() != requestsPerSecond) {
      LOGGER.info(
          "runner={} limit_per_second={} before={}",
          runner.id(),
          requestsPerSecond,
          before.isEmpty() ? "none" : before.getAsDouble());
    }
  }

  private void end(RunnerEntry runner, long sentAt) {
    Limit limit = limits.get(runner.id());
    if (limit == null || limit.announcedAtMilliseconds() > sentAt) {
      return;
    }
    limits.remove(runner.id());
    LOGGER.info(
        "runner={} limit_per_second=none before={}", runner.id(), limit.requestsPerSecond());
  }
}
