package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs periodic tasks on a single timer, since every timer firing wakes the process.
 *
 * <p>Invariant: a task runs once per period, rounded up to whole timer firings; missed firings are
 * not made up for. Confined to one event loop.
 */
final class PeriodicTasks {
  private static final Logger LOGGER = LogManager.getLogger(PeriodicTasks.class);

  private final Vertx vertx;
  private final long timerMilliseconds;
  private final EventLoopDelay delay;
  private final List<Task> tasks = new ArrayList<>();
  private long firings;

  private record Task(long firingsPerRun, LongConsumer action) {}

  /**
   * Creates an instance without tasks; the timer is not set yet.
   *
   * @param timerMilliseconds the interval between two firings
   * @param delay is notified of the firings
   */
  PeriodicTasks(Vertx vertx, long timerMilliseconds, EventLoopDelay delay) {
    this.vertx = vertx;
    this.timerMilliseconds = timerMilliseconds;
    this.delay = delay;
  }

  /**
   * Adds a task.
   *
   * @param milliseconds its period
   * @param action receives the monotonic time in milliseconds
   */
  void every(long milliseconds, LongConsumer action) {
    long firingsPerRun = (milliseconds + timerMilliseconds - 1) / timerMilliseconds;
    tasks.add(new Task(Math.max(1, firingsPerRun), action));
  }

  /** Schedules the next timer firing. */
  void start() {
    delay.timerScheduled(MonotonicClock.milliseconds() + timerMilliseconds);
    vertx.setTimer(timerMilliseconds, fired -> run());
  }

  private void run() {
    long now = MonotonicClock.milliseconds();
    delay.timerFired(now);
    start();
    firings++;
    for (Task task : tasks) {
      if (firings % task.firingsPerRun() == 0) {
        run(task, now);
      }
    }
  }

  /** Runs a task; its failure does not keep the others from running. */
  private static void run(Task task, long now) {
    try {
      task.action().accept(now);
    } catch (RuntimeException exception) {
      LOGGER.error("periodic task failed", exception);
    }
  }
}
