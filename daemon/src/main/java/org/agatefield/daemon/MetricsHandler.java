package org.agatefield.daemon;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.io.IOException;

/** Serves the metrics over HTTP. Safe for use by any thread. */
final class MetricsHandler implements Handler<RoutingContext> {
  private final MetricsText metrics;

  MetricsHandler(MetricRegistry metrics) {
    this.metrics = new MetricsText(metrics);
  }

  @Override
  public void handle(RoutingContext context) {
    Buffer text;
    try {
      text = metrics.text();
    } catch (IOException exception) {
      context.fail(exception);
      return;
    }
    context.response().putHeader("Content-Type", MetricsText.CONTENT_TYPE).end(text);
  }
}
