package org.agatefield.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Holds the token buckets of one instance, by client account.
 *
 * <p>A bucket requested for an account that this instance does not hold is created empty, and
 * removed after a period without use. Not thread safe.
 */
public final class QuotaBuckets {
  // Longer than the usual quota window.
  private static final long UNUSED_RETENTION_MILLISECONDS = 10_000;
  // An instance that holds an account uses its bucket several times within this time.
  private static final long RECENT_USE_MILLISECONDS = 1_000;

  private final Map<String, TrackedBucket> buckets = new HashMap<>();

  private static final class TrackedBucket {
    private final QuotaBucket bucket;
    private long usedAt;

    TrackedBucket(QuotaBucket bucket) {
      this.bucket = bucket;
    }
  }

  /** Returns the bucket of an account, updated to its current rate. */
  public QuotaBucket bucket(String account, TokenRate rate, long nowMilliseconds) {
    TrackedBucket tracked =
        buckets.computeIfAbsent(
            account, ignored -> new TrackedBucket(new QuotaBucket(rate, nowMilliseconds)));
    tracked.usedAt = nowMilliseconds;
    tracked.bucket.setRate(rate, nowMilliseconds);
    return tracked.bucket;
  }

  /**
   * Removes the buckets that were not used recently, unless {@code isHeld} accepts their account.
   */
  public void removeUnused(Predicate<String> isHeld, long nowMilliseconds) {
    buckets
        .entrySet()
        .removeIf(
            entry ->
                !isHeld.test(entry.getKey())
                    && nowMilliseconds - entry.getValue().usedAt > UNUSED_RETENTION_MILLISECONDS);
  }

  /**
   * Removes all buckets and returns their tokens, by account. Buckets that were not used recently
   * are left out, since another instance holds those accounts by now.
   */
  public Map<String, Double> drain(long nowMilliseconds) {
    Map<String, Double> tokens = new HashMap<>();
    buckets.forEach(
        (account, tracked) -> {
          if (nowMilliseconds - tracked.usedAt <= RECENT_USE_MILLISECONDS) {
            double level = tracked.bucket.level(nowMilliseconds);
            tokens.put(account, tracked.bucket.lend(level, nowMilliseconds));
          }
        });
    buckets.clear();
    return tokens;
  }

  /** Removes the bucket of an account, so that its next bucket starts empty. */
  public void forget(String account) {
    buckets.remove(account);
  }
}
