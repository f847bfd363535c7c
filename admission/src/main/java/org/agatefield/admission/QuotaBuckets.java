package org.agatefield.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The buckets that one instance holds, by client account.
 *
 * <p>A bucket that is asked for without being kept is created empty and forgotten once nobody has
 * asked for a while. Confined to one thread.
 */
public final class QuotaBuckets {
  private static final long FORGET_MILLISECONDS = 10_000; // longer than the usual window
  private static final long KEPT_MILLISECONDS = 1_000; // a holder uses its buckets several times

  private final Map<String, Held> buckets = new HashMap<>();

  private static final class Held {
    private final QuotaBucket bucket;
    private long usedAt;

    Held(QuotaBucket bucket) {
      this.bucket = bucket;
    }
  }

  /** Returns the bucket of an account, with the rate that it has now. */
  public QuotaBucket bucket(String account, TokenRate rate, long nowMilliseconds) {
    Held held =
        buckets.computeIfAbsent(
            account, ignored -> new Held(new QuotaBucket(rate, nowMilliseconds)));
    held.usedAt = nowMilliseconds;
    held.bucket.setRate(rate, nowMilliseconds);
    return held.bucket;
  }

  /** Forgets the buckets that are neither kept nor used. */
  public void removeUnused(Predicate<String> kept, long nowMilliseconds) {
    buckets
        .entrySet()
        .removeIf(
            entry ->
                !kept.test(entry.getKey())
                    && nowMilliseconds - entry.getValue().usedAt > FORGET_MILLISECONDS);
  }

  /**
   * Empties all buckets and returns what was in them, by account; buckets that nobody kept or used
   * lately are left out, as another instance holds them by now.
   */
  public Map<String, Double> drain(long nowMilliseconds) {
    Map<String, Double> tokens = new HashMap<>();
    buckets.forEach(
        (account, held) -> {
          if (nowMilliseconds - held.usedAt <= KEPT_MILLISECONDS) {
            double level = held.bucket.level(nowMilliseconds);
            tokens.put(account, held.bucket.lend(level, nowMilliseconds));
          }
        });
    buckets.clear();
    return tokens;
  }

  /** Forgets a bucket, so that the next one of that account begins empty. */
  public void forget(String account) {
    buckets.remove(account);
  }
}
