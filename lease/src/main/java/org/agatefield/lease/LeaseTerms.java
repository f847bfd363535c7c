package org.agatefield.lease;

/**
 * How a lease is held. Immutable.
 *
 * @param durationNanoseconds how long a grant lasts after a write
 * @param renewIntervalNanoseconds how often the holder writes; well below the duration
 * @param clockDriftPerMillion how far the rates of two monotonic clocks may differ, in millionths
 */
public record LeaseTerms(
    long durationNanoseconds, long renewIntervalNanoseconds, long clockDriftPerMillion) {
  private static final long MILLION = 1_000_000;

  /** Checks the relations. */
  public LeaseTerms {
    if (renewIntervalNanoseconds <= 0 || renewIntervalNanoseconds >= durationNanoseconds) {
      throw new IllegalArgumentException("renew interval: not between 0 and the duration");
    }
    if (clockDriftPerMillion < 0 || clockDriftPerMillion >= MILLION) {
      throw new IllegalArgumentException("clock drift: not between 0 and 999999 millionths");
    }
  }

  /** Returns how long a holder trusts a grant, by its own clock, from before the write was sent. */
  long grantValidityNanoseconds() {
    return durationNanoseconds - drift(durationNanoseconds);
  }

  /** Returns how long a challenger waits by its own clock, from when it saw the last change. */
  long takeoverWaitNanoseconds(long holderDurationNanoseconds) {
    return holderDurationNanoseconds + drift(holderDurationNanoseconds);
  }

  private long drift(long nanoseconds) {
    return nanoseconds / MILLION * clockDriftPerMillion;
  }
}
