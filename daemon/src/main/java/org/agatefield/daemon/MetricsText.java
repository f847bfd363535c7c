package org.agatefield.daemon;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Formats a metric registry in the Prometheus text format. Safe for use by any thread. */
public final class MetricsText {
  /** The media type of the text. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private final DropwizardExports exports;
  private final PrometheusTextFormatWriter writer =
      PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();

  /** Creates a formatter for the registry. */
  public MetricsText(MetricRegistry metrics) {
    this.exports = new DropwizardExports(metrics);
  }

  /**
   * Returns the current values of the metrics.
   *
   * @throws IOException if a metric could not be written
   */
  public Buffer text() throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    writer.write(output, exports.collect());
    return Buffer.buffer(output.toByteArray());
  }
}
