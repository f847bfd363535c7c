package org.agatefield.daemon.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.agatefield.model.ErrorKind;

/** Holds the dispatcher's metrics. Thread-safe. */
final class DispatchMetrics {
  private static final String PREFIX = "agatefield.dispatch";

  final Counter dispatched;
  final Counter retried;
  final Counter retriesOverBudget;
  final Counter ejections;
  final Timer decision;
  private final MetricRegistry registry;

  DispatchMetrics(MetricRegistry registry) {
    this.registry = registry;
    dispatched = registry.counter(MetricRegistry.name(PREFIX, "dispatched"));
    retried = registry.counter(MetricRegistry.name(PREFIX, "retried"));
    retriesOverBudget = registry.counter(MetricRegistry.name(PREFIX, "retries-over-budget"));
    ejections = registry.counter(MetricRegistry.name(PREFIX, "ejections"));
    decision = registry.timer(MetricRegistry.name(PREFIX, "decision"));
  }

  void refused(ErrorKind kind) {
    registry.counter(MetricRegistry.name(PREFIX, "refused", kind.code())).inc();
  }

  void gauge(String name, Gauge<Number> gauge) {
    registry.gauge(MetricRegistry.name(PREFIX, name), () -> gauge);
  }
}
