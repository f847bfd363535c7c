package org.agatefield.admission;

import java.util.Arrays;

/**
 * A limit that rises by one for each limit's worth of answers while it is used, and falls when
 * answers use up most of the time until their deadlines, or when the runner refuses requests or
 * lets them wait.
 *
 * <p>A report may catch a runner between two batches, with few running requests and many waiting
 * ones. So what it can run is taken to be the most that the last reports have shown.
 *
 * <p>Invariant: stays between the given bounds. Confined to the thread that holds it.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
  private static final double DECREASE_FACTOR = 0.8;
  private static final int MINIMUM_WAITING = 4;
  private static final double WAITING_SHARE = 0.25;
  private static final double LATE_FACTOR = 0.95;
  private static final double LATE_SHARE = 0.8;
  private static final double FULL_SHARE = 0.8;
  private static final int KEPT_REPORTS = 16;

  private final int minimum;
  private final int maximum;
  private final int[] lastRunning = new int[KEPT_REPORTS];
  private double limit;
  private int reports;

  /** Creates a limit that starts at {@code initial}. */
  public AdaptiveLimit(int minimum, int initial, int maximum) {
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
    lastRunning[reports % KEPT_REPORTS] = running;
    reports++;
    if (waiting < Math.max(MINIMUM_WAITING, running * WAITING_SHARE)) {
      return;
    }
    int mostRunning = Arrays.stream(lastRunning).max().orElse(running);
    limit = Math.max(minimum, Math.min(limit, mostRunning));
  }
}
