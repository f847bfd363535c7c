package org.agatefield.store;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Computes jittered exponential delays between attempts.
 *
 * <p>Each delay is uniformly distributed between half the current bound and the bound; the bound
 * doubles with each attempt up to a maximum. Not safe for use by several threads.
 */
public final class Backoff {
  private final long minimumMilliseconds;
  private final long maximumMilliseconds;
  private long boundMilliseconds;

  /** Creates a backoff whose bound grows from {@code minimum} to {@code maximum}. */
  public Backoff(Duration minimum, Duration maximum) {
    this.minimumMilliseconds = Math.max(2, minimum.toMillis());
    this.maximumMilliseconds = Math.max(minimumMilliseconds, maximum.toMillis());
    this.boundMilliseconds = minimumMilliseconds;
  }

  /** Returns the next delay in milliseconds. */
  public long nextMilliseconds() {
    long bound = boundMilliseconds;
    boundMilliseconds = Math.min(maximumMilliseconds, bound * 2);
    return ThreadLocalRandom.current().nextLong(bound / 2, bound + 1);
  }

  /** Resets the bound to the minimum. */
  public void reset() {
    boundMilliseconds = minimumMilliseconds;
  }
}
