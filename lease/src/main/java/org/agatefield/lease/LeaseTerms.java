package org.agatefield.lease;

/**
 * Durations of a lease. Immutable.
 *
 * @param durationNanoseconds how long a grant lasts after a write
 * @param renewIntervalNanoseconds time between two writes of the holder; well below the duration
 * @param clockDriftPerMillion maximum difference between the rates of two monotonic clocks, in
 *     millionths
 */
public record LeaseTerms(
    long durationNanoseconds, long renewIntervalNanoseconds, long clockDriftPerMillion) {
  private static final long MILLION = 1_000_000;

  /** Validates the durations and the drift. */
  public LeaseTerms {
    if (renewIntervalNanoseconds <= 0 || renewIntervalNanoseconds >= durationNanoseconds) {
      throw new IllegalArgumentException("renew interval: not between 0 and the duration");
    }
    if (clockDriftPerMillion < 0 || clockDriftPerMillion >= MILLION) {
      throw new IllegalArgumentException("clock drift: not between 0 and 999999 millionths");
    }
  }

  /** Returns how long a grant is valid on the holder's clock, from before its write was sent. */
  long grantValidityNanoseconds() {
    return durationNanoseconds - drift(durationNanoseconds);
  }

  /** Returns how long a challenger waits on its own clock after it observed the last change. */
  long takeoverWaitNanoseconds(long holderDurationNanoseconds) {
    return holderDurationNanoseconds + drift(holderDurationNanoseconds);
  }

  private long drift(long nanoseconds) {
    return nanoseconds / MILLION * clockDriftPerMillion;
  }
}
