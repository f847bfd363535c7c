package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Runs what is to be done again and again, all by one timer, as each firing wakes the process.
 *
 * <p>Invariant: a duty runs once in its period, rounded up to whole firings of the timer; firings
 * that were missed are not made up for. Confined to one event loop.
 */
final class PeriodicTasks {
  private final Vertx vertx;
  private final long timerMilliseconds;
  private final EventLoopDelay delay;
  private final List<Duty> duties = new ArrayList<>();
  private long firings;

  private record Duty(long everyFirings, LongConsumer work) {}

  /**
   * Creates duties that do not run yet.
   *
   * @param timerMilliseconds the time between two firings
   * @param delay told of the firings
   */
  PeriodicTasks(Vertx vertx, long timerMilliseconds, EventLoopDelay delay) {
    this.vertx = vertx;
    this.timerMilliseconds = timerMilliseconds;
    this.delay = delay;
  }

  /**
   * Adds a duty.
   *
   * @param milliseconds its period
   * @param work is given the monotonic time in milliseconds
   */
  void every(long milliseconds, LongConsumer work) {
    long firingsEach = (milliseconds + timerMilliseconds - 1) / timerMilliseconds;
    duties.add(new Duty(Math.max(1, firingsEach), work));
  }

  /** Sets the timer for the first time. */
  void start() {
    delay.expectAt(MonotonicClock.milliseconds() + timerMilliseconds);
    vertx.setTimer(timerMilliseconds, fired -> run());
  }

  private void run() {
    long now = MonotonicClock.milliseconds();
    delay.fired(now);
    start();
    firings++;
    for (Duty duty : duties) {
      if (firings % duty.everyFirings() == 0) {
        duty.work().accept(now);
      }
    }
  }
}
