package org.agatefield.store;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Jittered exponential delays between tries.
 *
 * <p>Each delay is drawn evenly from half the current bound to the whole of it; the bound doubles
 * with each try up to a maximum. Not safe for use by several threads.
 */
public final class Backoff {
  private final long minimumMilliseconds;
  private final long maximumMilliseconds;
  private long boundMilliseconds;

  /** Creates delays that grow from {@code minimum} to {@code maximum}. */
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

  /** Starts again from the smallest delay. */
  public void reset() {
    boundMilliseconds = minimumMilliseconds;
  }
}
