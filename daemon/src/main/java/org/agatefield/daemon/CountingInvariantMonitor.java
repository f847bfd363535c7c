package org.agatefield.daemon;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.agatefield.daemon.core.InvariantMonitor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs each violation with its evidence and counts it in {@code agatefield.violations.<promise>}.
 *
 * <p>Safe for use by any thread.
 */
final class CountingInvariantMonitor implements InvariantMonitor {
  private static final Logger LOGGER = LogManager.getLogger(CountingInvariantMonitor.class);

  private final Map<Invariant, Counter> counters = new EnumMap<>(Invariant.class);

  CountingInvariantMonitor(MetricRegistry metrics) {
    for (Invariant promise : Invariant.values()) {
      String name = promise.name().toLowerCase(Locale.ROOT);
      counters.put(promise, metrics.counter("agatefield.violations." + name));
    }
  }

  @Override
  public void check(Invariant promise, boolean holds, Supplier<String> evidence) {
    if (holds) {
      return;
    }
    counters.get(promise).inc();
    LOGGER.error("violation promise={} evidence=\"{}\"", promise, evidence.get());
  }

  @Override
  public long violations() {
    return counters.values().stream().mapToLong(Counter::getCount).sum();
  }
}
