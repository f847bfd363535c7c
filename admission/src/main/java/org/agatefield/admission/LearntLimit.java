package org.agatefield.admission;

/**
 * A limit that rises by one for each limit's worth of answers while it is used, and falls when
 * answers use up most of the time until their deadlines, or when the runner refuses requests or
 * lets them wait.
 *
 * <p>Invariant: stays between the given bounds. Confined to the thread that holds it.
 */
public final class LearntLimit implements ConcurrencyLimit {
  private static final double DECREASE_FACTOR = 0.8;
  private static final double WAITING_SHARE = 0.25;
  private static final double LATE_FACTOR = 0.95;
  private static final double LATE_SHARE = 0.8;
  private static final double FULL_SHARE = 0.8;

  private final int minimum;
  private final int maximum;
  private double limit;

  /** Creates a limit that starts at {@code initial}. */
  public LearntLimit(int minimum, int initial, int maximum) {
    this.minimum = minimum;
    this.maximum = maximum;
    this.limit = initial;
  }

  @Override
  public int limit() {
    return (int) limit;
  }

  @Override
  public void succeeded(int outstanding, double usedOfDeadline) {
    if (usedOfDeadline > LATE_SHARE) {
      limit = Math.max(minimum, limit * LATE_FACTOR);
      return;
    }
    if (outstanding >= FULL_SHARE * limit) {
      limit = Math.min(maximum, limit + 1 / limit);
    }
  }

  @Override
  public void rejected() {
    limit = Math.max(minimum, limit * DECREASE_FACTOR);
  }

  @Override
  public void reported(int running, int waiting) {
    if (waiting > running * WAITING_SHARE && running < limit) {
      limit = Math.max(minimum, Math.max(running, limit * DECREASE_FACTOR));
    }
  }
}
