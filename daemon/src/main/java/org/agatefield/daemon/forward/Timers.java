package org.agatefield.daemon.forward;

/** Schedules tasks on the event loop. Confined to that loop unless an implementation says more. */
@FunctionalInterface
interface Timers {
  void after(long milliseconds, Runnable task);
}
