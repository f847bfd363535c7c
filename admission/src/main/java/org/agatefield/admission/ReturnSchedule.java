package org.agatefield.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names the times at which refused callers come back: who was refused first comes back first, and
 * the returns to a target are spread over the time in which it takes up work.
 *
 * <p>Invariants: the times for one target never decrease while its callers are still due; no time
 * is further off than {@link #MAXIMUM_MILLISECONDS}; at most {@link #MAXIMUM_TARGETS} targets are
 * kept. Not thread safe.
 */
public final class ReturnSchedule {
  /** The furthest time that is named. */
  public static final long MAXIMUM_MILLISECONDS = 60_000;

  private static final int MAXIMUM_TARGETS = 1_024;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private final Map<String, Long> lastReturns =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAXIMUM_TARGETS;
        }
      };

  /**
   * Returns in how many milliseconds the next refused caller should come back.
   *
   * @param roomInMilliseconds when there is room for it, as far as is known
   * @param perSecond how many requests the target takes up from this instance; 0 if unknown
   */
  public long returnIn(
      String target, long roomInMilliseconds, double perSecond, long nowMilliseconds) {
    long earliest = nowMilliseconds + Math.min(MAXIMUM_MILLISECONDS, roomInMilliseconds);
    long spacing = perSecond > 0 ? (long) (MILLISECONDS_PER_SECOND / perSecond) : 0;
    long afterLast = lastReturns.getOrDefault(target, Long.MIN_VALUE / 2) + spacing;
    long returnAt = Math.min(nowMilliseconds + MAXIMUM_MILLISECONDS, Math.max(earliest, afterLast));
    lastReturns.put(target, returnAt);
    return returnAt - nowMilliseconds;
  }
}
