package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.agatefield.forwarding.RunnerEntry;

/**
 * Tells when a runner last started under an identifier that an earlier process of it may have had.
 *
 * <p>A restart that this instance sees is known. One from before this instance watched the runners
 * is not: until no order to an earlier process can still take effect, a runner whose process is
 * that young counts as restarted. Times are those of a monotonic clock in milliseconds, unless
 * stated otherwise. Confined to one event loop.
 */
final class RunnerRestarts {
  private static final long RETENTION_MILLISECONDS = OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS;
  // The time of day of a machine may jump by seconds.
  private static final long CLOCK_TOLERANCE_MILLISECONDS = 3_000;

  private final Map<String, Long> restartedAt = new HashMap<>();
  private OptionalLong watchedSince = OptionalLong.empty();

  /** Records that all runners are known from now on. */
  void watchBegan(long now) {
    if (watchedSince.isEmpty()) {
      watchedSince = OptionalLong.of(now);
    }
  }

  /** Records that a runner was seen to start again under its identifier. */
  void restarted(String id, long now) {
    restartedAt.put(id, now);
  }

  /**
   * Records the first entry of a runner, whose process may or may not be the first of its
   * identifier.
   *
   * @param timeOfDay the wall-clock time in Unix milliseconds
   */
  void firstSeen(RunnerEntry entry, long now, long timeOfDay) {
    boolean earlierProcessWouldBeKnown =
        watchedSince.isPresent() && now - watchedSince.getAsLong() > RETENTION_MILLISECONDS;
    if (earlierProcessWouldBeKnown) {
      return;
    }
    long age = timeOfDay - entry.startTimeMilliseconds() - CLOCK_TOLERANCE_MILLISECONDS;
    if (age <= RETENTION_MILLISECONDS) {
      restartedAt.put(entry.id(), now - Math.max(0, age));
    }
  }

  /** Returns when a runner restarted, or may have; empty if it did not. */
  OptionalLong of(String id) {
    Long at = restartedAt.get(id);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at);
  }

  /** Forgets restarts that no order from before them can outlast. */
  void forgetOld(long now) {
    restartedAt.values().removeIf(at -> now - at > RETENTION_MILLISECONDS);
  }
}
