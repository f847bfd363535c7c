package org.agatefield.daemon;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Writes a registry in the text format that Prometheus reads. Safe for use by any thread. */
public final class MetricsText {
  /** The media type of the text. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private final DropwizardExports exports;
  private final PrometheusTextFormatWriter writer =
      PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();

  /** Creates a writer of what the registry holds at each call. */
  public MetricsText(MetricRegistry metrics) {
    this.exports = new DropwizardExports(metrics);
  }

  /**
   * Returns the metrics as they are now.
   *
   * @throws IOException if a metric could not be written
   */
  public Buffer text() throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    writer.write(output, exports.collect());
    return Buffer.buffer(output.toByteArray());
  }
}
