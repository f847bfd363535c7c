package org.agatefield.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Records how long the requests of each route took until their answer was complete.
 *
 * <p>Invariant: a time is remembered for one window at least and for two at most. Not thread safe.
 */
public final class AnswerTimes {
  private static final long WINDOW_MILLISECONDS = 30_000;

  private Map<String, Long> current = new HashMap<>();
  private Map<String, Long> previous = Map.of();
  private long windowStart;

  /**
   * Records a complete answer.
   *
   * @param now the time in monotonic milliseconds
   */
  public void record(String route, long milliseconds, long now) {
    advance(now);
    current.merge(route, milliseconds, Math::max);
  }

  /** Returns the longest recent time; empty if the route had no answer recently. */
  public OptionalLong longestMilliseconds(String route, long now) {
    advance(now);
    long longest = Math.max(current.getOrDefault(route, -1L), previous.getOrDefault(route, -1L));
    return longest < 0 ? OptionalLong.empty() : OptionalLong.of(longest);
  }

  private void advance(long now) {
    long age = now - windowStart;
    if (age < WINDOW_MILLISECONDS) {
      return;
    }
    previous = age < 2 * WINDOW_MILLISECONDS ? current : Map.of();
    current = new HashMap<>();
    windowStart = now;
  }
}
