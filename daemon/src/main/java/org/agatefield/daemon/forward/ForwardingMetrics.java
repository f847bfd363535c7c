package org.agatefield.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.agatefield.forwarding.RouteKind;

/** Records counters and latency histograms of forwarded requests. Safe for use by any thread. */
final class ForwardingMetrics {
  private static final String PREFIX = "agatefield.forwarding.";

  private final MetricRegistry registry;

  ForwardingMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  void finished(RouteKind kind, String outcome, long milliseconds) {
    String name = PREFIX + kind.name().toLowerCase(java.util.Locale.ROOT) + '.' + outcome;
    registry.timer(name).update(milliseconds, TimeUnit.MILLISECONDS);
  }

  void refused(String reason) {
    registry.counter(PREFIX + "refused." + reason).inc();
  }

  /** Records that a runner sent nothing for one request for longer than its stall timeout. */
  void stalled() {
    registry.counter(PREFIX + "stalls").inc();
  }

  /** Records that the code that handles a request has thrown an exception. */
  void internalError() {
    registry.counter(PREFIX + "internal-errors").inc();
  }

  /** Records the difference between an expected time to the first event and the real one. */
  void estimated(double expectedMilliseconds, long milliseconds) {
    long error = Math.round(milliseconds - expectedMilliseconds);
    registry.histogram(PREFIX + "estimate-late-milliseconds").update(Math.max(0, error));
    registry.histogram(PREFIX + "estimate-early-milliseconds").update(Math.max(0, -error));
  }

  /** Records how long a request waited for a runner at this instance. */
  void waited(int priority, long milliseconds) {
    registry
        .timer(PREFIX + "waited.priority-" + priority)
        .update(milliseconds, TimeUnit.MILLISECONDS);
  }

  /** Records that a caller that was refused before was sent to a runner or refused again. */
  void returned(boolean admitted) {
    registry.counter(PREFIX + "returns." + (admitted ? "admitted" : "refused")).inc();
  }

  void permitDenied() {
    registry.counter(PREFIX + "permits-denied").inc();
  }

  void sent(boolean repeat) {
    registry.counter(PREFIX + (repeat ? "repeats" : "sends")).inc();
  }
}
