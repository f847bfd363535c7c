package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Loads that were ordered from an earlier life of a runner, had no answer and may still take
 * effect.
 *
 * <p>A count of accepted orders guards against them within one life only: a runner that starts
 * again under its identifier counts anew, so that a late order may find the count that it names.
 * Confined to one event loop.
 */
final class LateOrders {
  /** How long after it was sent an order may still be carried out. */
  static final long LATE_MILLISECONDS = 13_000; // the pages say seconds; benches play twelve

  private final Map<String, Long> unanswered = new HashMap<>();
  private final Map<String, Long> fromEarlierLives = new HashMap<>();

  /** An order to load a model, or an adapter written as {@code model/adapter}, had no answer. */
  void unanswered(String load, long now) {
    unanswered.put(load, now + LATE_MILLISECONDS);
  }

  /** The runner started again. */
  void newLife() {
    fromEarlierLives.putAll(unanswered);
    unanswered.clear();
  }

  /** Returns the models that may still be loaded. */
  Set<String> models(long now) {
    return loads(now, false);
  }

  /** Returns how many adapters may still be loaded. */
  int adapters(long now) {
    return loads(now, true).size();
  }

  private Set<String> loads(long now, boolean adapters) {
    fromEarlierLives.values().removeIf(until -> until < now);
    Set<String> loads = new HashSet<>(fromEarlierLives.keySet());
    loads.removeIf(load -> load.contains("/") != adapters);
    return loads;
  }
}
