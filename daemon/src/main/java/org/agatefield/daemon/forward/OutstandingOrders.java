package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks load orders sent to earlier processes of a runner that may still take effect in a later
 * one.
 *
 * <p>The count of accepted orders protects against delayed orders only within one process: a runner
 * that restarts under its identifier counts from the start again, so that a delayed order may match
 * the new count. Each copy of an order counts by itself, as the answer to one says nothing of the
 * others. Outlives the runner's entry, which expires while the runner is down. Confined to one
 * event loop.
 */
final class OutstandingOrders {
  /**
   * How long after sending an order may still be executed. The specification allows delays of
   * seconds; benchmarks use twelve.
   */
  static final long MAXIMUM_DELAY_MILLISECONDS = 13_000;

  private final Map<Long, Copy> pending = new HashMap<>();
  private final Map<Long, Copy> fromEarlierProcesses = new HashMap<>();
  private long lastNumber;

  private record Copy(String load, long until) {}

  /**
   * Records that an order to load a model, or an adapter written as {@code model/adapter}, is being
   * sent.
   *
   * @return the number of this copy of the order
   */
  long sent(String load, long now) {
    pending.values().removeIf(copy -> copy.until() < now);
    lastNumber++;
    pending.put(lastNumber, new Copy(load, now + MAXIMUM_DELAY_MILLISECONDS));
    return lastNumber;
  }

  /** Records that the runner reported the outcome of a copy of an order. */
  void answered(long number) {
    pending.remove(number);
    fromEarlierProcesses.remove(number);
  }

  /** Records that the runner restarted or no longer exists. */
  void runnerRestarted() {
    fromEarlierProcesses.putAll(pending);
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

  /** Returns whether no order to an earlier process can still load anything. */
  boolean isEmpty(long now) {
    fromEarlierProcesses.values().removeIf(copy -> copy.until() < now);
    return fromEarlierProcesses.isEmpty();
  }

  private Set<String> loads(long now, boolean adapters) {
    if (isEmpty(now)) {
      return Set.of();
    }
    Set<String> loads = new HashSet<>();
    fromEarlierProcesses.values().forEach(copy -> loads.add(copy.load()));
    loads.removeIf(load -> load.contains("/") != adapters);
    return loads;
  }
}
