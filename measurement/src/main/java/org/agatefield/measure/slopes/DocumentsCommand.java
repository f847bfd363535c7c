package org.agatefield.measure.slopes;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.peer.generated.PeerProtocol;

/** Measures the size of configuration documents and demand reports. Used by one thread. */
@Command(
    name = "documents",
    description = "Documents and demand reports: size, time to write and read")
public final class DocumentsCommand implements Callable<Integer> {
  private static final int ROUNDS = 200;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new Jdk8Module()).build();

  @Option(name = "--sizes", description = "models/runners, separated by commas")
  private String sizes = "20/11,70/500,140/1000,280/2000";

  @Override
  public Integer call() throws IOException {
    for (String size : sizes.split(",")) {
      String[] parts = size.trim().split("/");
      measure(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
    }
    return 0;
  }

  private static void measure(int models, int runners) throws IOException {
    ConfigurationDocument document = SyntheticConfiguration.of(1, models, runners);
    byte[] json = MAPPER.writeValueAsBytes(document);
    byte[] compressed = compress(json);
    long compressStart = ProcessorTime.ofThisThread();
    for (int round = 0; round < ROUNDS; round++) {
      compress(MAPPER.writeValueAsBytes(document));
    }
    long readStart = ProcessorTime.ofThisThread();
    for (int round = 0; round < ROUNDS; round++) {
      read(compressed);
    }
    long end = ProcessorTime.ofThisThread();
    System.out.printf(
        "models=%d runners=%d json_bytes=%d compressed_bytes=%d write_ms=%.2f read_ms=%.2f"
            + " demand_report_bytes=%d%n",
        models,
        runners,
        json.length,
        compressed.length,
        (readStart - compressStart) / 1e6 / ROUNDS,
        (end - readStart) / 1e6 / ROUNDS,
        demandReport(models).getSerializedSize());
  }

  private static byte[] compress(byte[] json) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
      compressed.write(json);
    }
    return bytes.toByteArray();
  }

  private static void read(byte[] compressed) throws IOException {
    try (GZIPInputStream stream = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
      MAPPER.readValue(stream.readAllBytes(), ConfigurationDocument.class);
    }
  }

  /** Returns a demand report of one region for all models. */
  private static PeerProtocol.DemandReport demandReport(int models) {
    PeerProtocol.DemandReport.Builder report =
        PeerProtocol.DemandReport.newBuilder().setInstance("entry-1-00000000").setInstances(100);
    for (int model = 0; model < models; model++) {
      report.addSamples(
          PeerProtocol.Demand.newBuilder()
              .setDeployment("model-" + model)
              .setRegion("region-1")
              .setRequestsPerSecond(27.1f)
              .setRefusedPerSecond(0.1f)
              .setBusySecondsPerSecond(3.3f));
    }
    return report.build();
  }
}
