package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Loads that were ordered from an earlier life of a runner and may still take effect in a later
 * one.
 *
 * <p>A count of accepted orders guards against late orders within one life only: a runner that
 * starts again under its identifier counts anew, so that a late order may find the count that it
 * names. Outlives the runner's entry, which lapses while the runner is down. Confined to one event
 * loop.
 */
final class OutstandingOrders {
  /** How long after it was sent an order may still be carried out. */
  static final long LATE_MILLISECONDS = 13_000; // the pages say seconds; benches play twelve

  private final Map<String, Long> pending = new HashMap<>();
  private final Map<String, Long> fromEarlierLives = new HashMap<>();

  /** An order to load a model, or an adapter written as {@code model/adapter}, is being sent. */
  void sent(String load, long now) {
    pending.put(load, now + LATE_MILLISECONDS);
  }

  /** The runner said what became of the order. */
  void answered(String load) {
    pending.remove(load);
    fromEarlierLives.remove(load);
  }

  /** The runner started again, or is gone. */
  void newLife() {
    fromEarlierLives.putAll(pending);
    pending.clear();
  }

  /** Returns the models that may still be loaded. */
  Set<String> models(long now) {
    return loads(now, false);
  }

  /** Returns how many adapters may still be loaded. */
  int adapters(long now) {
    return loads(now, true).size();
  }

  /** Returns whether nothing may still be loaded by an order of an earlier life. */
  boolean isEmpty(long now) {
    fromEarlierLives.values().removeIf(until -> until < now);
    return fromEarlierLives.isEmpty();
  }

  private Set<String> loads(long now, boolean adapters) {
    if (isEmpty(now)) {
      return Set.of();
    }
    Set<String> loads = new HashSet<>(fromEarlierLives.keySet());
    loads.removeIf(load -> load.contains("/") != adapters);
    return loads;
  }
}
