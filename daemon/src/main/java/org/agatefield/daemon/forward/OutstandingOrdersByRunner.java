package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Holds the outstanding orders of each runner, including runners whose entry has expired.
 *
 * <p>Those of earlier planners are unknown: a runner that has restarted under its identifier may
 * get any order that was sent before its restart and before this instance became the planner.
 * Confined to one event loop.
 */
final class OutstandingOrdersByRunner {
  private final Map<String, OutstandingOrders> orders = new HashMap<>();
  private long plannerSince = Long.MIN_VALUE / 2;

  /** Returns the outstanding orders of a runner; the caller may retain and modify them. */
  OutstandingOrders of(String runner) {
    return orders.computeIfAbsent(runner, ignored -> new OutstandingOrders());
  }

  /** Records that this instance has become the planner after another process. */
  void tookOver(long now) {
    plannerSince = now;
  }

  /** Returns whether an order of an earlier planner may still reach a runner. */
  boolean mayReceiveUnknownOrder(OptionalLong restartedAt, long now) {
    if (restartedAt.isEmpty()) {
      return false; // The count of accepted orders protects a runner that has not restarted.
    }
    long lastSent = Math.min(plannerSince, restartedAt.getAsLong());
    return now - lastSent <= OutstandingOrders.MAXIMUM_DELAY_MILLISECONDS;
  }

  /** Records that a runner no longer exists; it may return as a new process. */
  void runnerRemoved(String runner) {
    of(runner).runnerRestarted();
  }

  /** Removes unknown runners that no delayed order can reach any more. */
  void forget(Predicate<String> known, long now) {
    orders
        .entrySet()
        .removeIf(entry -> !known.test(entry.getKey()) && entry.getValue().isEmpty(now));
  }
}
