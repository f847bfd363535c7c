package org.agatefield.daemon;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Serves the metrics in the text format that Prometheus reads. Safe for use by any thread. */
final class MetricsHandler implements Handler<RoutingContext> {
  private final DropwizardExports exports;
  private final PrometheusTextFormatWriter writer =
      PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();

  MetricsHandler(MetricRegistry metrics) {
    this.exports = new DropwizardExports(metrics);
  }

  @Override
  public void handle(RoutingContext context) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    try {
      writer.write(output, exports.collect());
    } catch (IOException exception) {
      context.fail(exception);
      return;
    }
    context
        .response()
        .putHeader("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE)
        .end(Buffer.buffer(output.toByteArray()));
  }
}
