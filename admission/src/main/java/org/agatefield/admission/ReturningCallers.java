package org.agatefield.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognizes requests of callers that were refused, here or at another instance, by the time that
 * they have already spent: they wait shorter than the callers of their route usually do.
 *
 * <p>Invariant: keeps at most {@link #MAXIMUM_ROUTES} routes. Not thread safe.
 */
public final class ReturningCallers {
  // More than a caller loses on the way, less than any refused caller is told to wait.
  private static final long MINIMUM_SPENT_MILLISECONDS = 250;
  private static final long WINDOW_MILLISECONDS = 30_000;
  private static final int MAXIMUM_ROUTES = 4_096;

  private final Map<String, LongestWaits> routes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LongestWaits> eldest) {
          return size() > MAXIMUM_ROUTES;
        }
      };

  /** The longest waits of the current and the previous window. */
  private static final class LongestWaits {
    private long startedAt;
    private long current;
    private long previous;

    private LongestWaits(long startedAt) {
      this.startedAt = startedAt;
    }

    private long with(long milliseconds, long now) {
      if (now - startedAt >= WINDOW_MILLISECONDS) {
        previous = now - startedAt >= 2 * WINDOW_MILLISECONDS ? 0 : current;
        current = 0;
        startedAt = now;
      }
      current = Math.max(current, milliseconds);
      return Math.max(current, previous);
    }
  }

  /**
   * Returns whether a caller has spent part of its time on an earlier attempt.
   *
   * @param waitMilliseconds how long the caller says that it still waits
   */
  public boolean hasReturned(String route, long waitMilliseconds, long nowMilliseconds) {
    LongestWaits waits =
        routes.computeIfAbsent(route, ignored -> new LongestWaits(nowMilliseconds));
    long longest = waits.with(waitMilliseconds, nowMilliseconds);
    return longest - waitMilliseconds >= MINIMUM_SPENT_MILLISECONDS;
  }
}
