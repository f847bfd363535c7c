package org.agatefield.admission;

import java.util.Arrays;

/**
 * Adapts the concurrency limit of a runner to its answers and load reports.
 *
 * <p>The limit rises by one for each limit's worth of answers while it is in use. It falls when
 * answers use up most of the time until their deadlines, when the runner refuses requests, and when
 * requests queue inside the runner.
 *
 * <p>A report may be taken between two batches of the runner, with few running and many waiting
 * requests. The capacity of the runner is therefore taken to be the largest number of running
 * requests in the last reports.
 *
 * <p>Invariant: the limit stays between the given bounds. Not thread safe.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
  private static final double DECREASE_FACTOR = 0.8;
  private static final int MINIMUM_WAITING = 4;
  private static final double MINIMUM_WAITING_SHARE = 0.25;
  private static final double LATE_FACTOR = 0.95;
  private static final double LATE_DEADLINE_SHARE = 0.8;
  private static final double IN_USE_SHARE = 0.8;
  private static final int REPORT_HISTORY = 16;

  private final int minimum;
  private final int maximum;
  private final int[] lastRunning = new int[REPORT_HISTORY];
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
  public void succeeded(int outstanding, double usedDeadlineShare) {
    if (usedDeadlineShare > LATE_DEADLINE_SHARE) {
      limit = Math.max(minimum, limit * LATE_FACTOR);
      return;
    }
    if (outstanding >= IN_USE_SHARE * limit) {
      limit = Math.min(maximum, limit + 1 / limit);
    }
  }

  @Override
  public void rejected() {
    limit = Math.max(minimum, limit * DECREASE_FACTOR);
  }

  @Override
  public void reported(int running, int waiting) {
    lastRunning[reports % REPORT_HISTORY] = running;
    reports++;
    if (waiting < Math.max(MINIMUM_WAITING, running * MINIMUM_WAITING_SHARE)) {
      return;
    }
    int mostRunning = Arrays.stream(lastRunning).max().orElse(running);
    limit = Math.max(minimum, Math.min(limit, mostRunning));
  }
}
