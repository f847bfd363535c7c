package org.agatefield.daemon.forward;

import java.util.concurrent.TimeUnit;

/** Provides monotonic time in milliseconds. Stateless. */
final class MonotonicClock {
  private MonotonicClock() {}

  static long milliseconds() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
