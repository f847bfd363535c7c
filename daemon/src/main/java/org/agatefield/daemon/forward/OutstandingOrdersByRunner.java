package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The late orders of each runner, also while its entry is away.
 *
 * <p>Confined to one event loop.
 */
final class OutstandingOrdersByRunner {
  private final Map<String, OutstandingOrders> orders = new HashMap<>();

  /** Returns the late orders of a runner, which the caller may keep and change. */
  OutstandingOrders of(String runner) {
    return orders.computeIfAbsent(runner, ignored -> new OutstandingOrders());
  }

  /** A runner is gone; it may come back as another life. */
  void gone(String runner) {
    of(runner).newLife();
  }

  /** Forgets runners that are not known and that no late order can reach. */
  void forget(Predicate<String> known, long now) {
    orders
        .entrySet()
        .removeIf(entry -> !known.test(entry.getKey()) && entry.getValue().isEmpty(now));
  }
}
