package org.agatefield.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import org.agatefield.daemon.MetricsText;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Serves the metrics for every request. Confined to one event loop. */
final class MetricsServer implements Handler<HttpServerRequest> {
  private static final Logger LOGGER = LogManager.getLogger(MetricsServer.class);
  private static final int INTERNAL_ERROR = 500;

  private final MetricRegistry registry;
  private MetricsText metrics;

  MetricsServer(MetricRegistry registry) {
    this.registry = registry;
  }

  @Override
  public void handle(HttpServerRequest request) {
    if (metrics == null) {
      metrics =
          new MetricsText(
              registry); // Created on the first request, so that its classes are loaded only when
      // needed.
    }
    try {
      request.response().putHeader("Content-Type", MetricsText.CONTENT_TYPE).end(metrics.text());
    } catch (IOException exception) {
      LOGGER.warn("the metrics could not be written", exception);
      request.response().setStatusCode(INTERNAL_ERROR).end();
    }
  }
}
