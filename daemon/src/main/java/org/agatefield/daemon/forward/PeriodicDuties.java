package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Runs what is to be done again and again, all by one timer.
 *
 * <p>Invariant: a duty runs once in its period, rounded up to whole firings of the timer. Confined
 * to one event loop.
 */
final class PeriodicDuties {
  private final Vertx vertx;
  private final long timerMilliseconds;
  private final List<Duty> duties = new ArrayList<>();
  private long firings;

  private record Duty(long everyFirings, LongConsumer work) {}

  /**
   * Creates duties that do not run yet.
   *
   * @param timerMilliseconds the time between two firings
   */
  PeriodicDuties(Vertx vertx, long timerMilliseconds) {
    this.vertx = vertx;
    this.timerMilliseconds = timerMilliseconds;
  }

  /**
   * Adds a duty.
   *
   * @param milliseconds its period, rounded up to whole firings
   * @param work is given the monotonic time in milliseconds
   */
  void every(long milliseconds, LongConsumer work) {
    long firingsEach = (milliseconds + timerMilliseconds - 1) / timerMilliseconds;
    duties.add(new Duty(Math.max(1, firingsEach), work));
  }

  /** Starts the timer. */
  void start() {
    vertx.setPeriodic(timerMilliseconds, fired -> run(MonotonicClock.milliseconds()));
  }

  private void run(long now) {
    firings++;
    for (Duty duty : duties) {
      if (firings % duty.everyFirings() == 0) {
        duty.work().accept(now);
      }
    }
  }
}
