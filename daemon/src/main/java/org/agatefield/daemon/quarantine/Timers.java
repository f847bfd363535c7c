package org.agatefield.daemon.quarantine;

/** Schedules tasks on the event loop. Confined to that loop unless an implementation says more. */
@FunctionalInterface
public interface Timers {
  /** Runs a task once after a time. */
  void after(long milliseconds, Runnable task);
}
