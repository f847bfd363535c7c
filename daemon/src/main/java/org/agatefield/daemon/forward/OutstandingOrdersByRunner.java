package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Holds the outstanding orders of each runner, including runners whose entry has expired.
 *
 * <p>Confined to one event loop.
 */
final class OutstandingOrdersByRunner {
  private final Map<String, OutstandingOrders> orders = new HashMap<>();

  /** Returns the outstanding orders of a runner; the caller may retain and modify them. */
  OutstandingOrders of(String runner) {
    return orders.computeIfAbsent(runner, ignored -> new OutstandingOrders());
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
