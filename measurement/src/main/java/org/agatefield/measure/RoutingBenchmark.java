package org.agatefield.measure;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.daemon.dispatch.DispatchPolicies;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Priority;
import org.agatefield.model.Replica;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.VersionId;
import org.agatefield.model.WeightStoreLimits;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures the latency of routing decisions of one dispatcher with 2,000 runners and 280 models,
 * the size that the users specified. A loop with warm-up and a histogram, not JMH. Each measurement
 * includes admission, the choice, the log call (disabled) and the release of the slot. Used by one
 * thread.
 */
final class RoutingBenchmark implements ConfigurationSource, ReplicaDirectory {
  private static final RequestFingerprint FINGERPRINT =
      RequestFingerprint.of("POST", "/", Optional.empty(), new byte[0]);
  private static final int RUNNERS = 2_000;
  private static final int MODELS = 280;
  private static final int WARM_UP_DECISIONS = 200_000;
  private static final int DECISIONS = 500_000;
  private static final int PREFIXES = 16;
  private static final long LONGEST_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

  private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1);
  private final ConfigurationDocument document;
  private final List<Replica> replicas = new ArrayList<>();
  private final LoadReport report =
      new LoadReport("boot", 80_000, 10_000, 3, 0, List.of(), List.of(), 0);

  RoutingBenchmark() {
    List<Upstream> upstreams = new ArrayList<>();
    List<Deployment> deployments = new ArrayList<>();
    for (int number = 0; number < RUNNERS; number++) {
      upstreams.add(upstream(number));
      String model = Fleet.modelName(number % MODELS);
      replicas.add(
          new Replica(new VersionId(model, Fleet.VERSION), "runner-" + number, false, Set.of()));
    }
    for (int model = 0; model < MODELS; model++) {
      DeploymentVersion version = new DeploymentVersion(Fleet.VERSION, 10_000, 1);
      deployments.add(
          new Deployment(Fleet.modelName(model), List.of(version), Priority.INTERACTIVE, 1));
    }
    document =
        new ConfigurationDocument(
            1,
            deployments,
            List.of(),
            List.of(),
            List.of(),
            upstreams,
            new WeightStoreLimits(1, 1, 1));
  }

  private static Upstream upstream(int number) {
    return new Upstream(
        "runner-" + number,
        UpstreamKind.MODEL_RUNNER,
        new Address("127.0.0.1", 10_000 + number),
        new FailureDomain("region-" + number % 3, "a"),
        4,
        80_000,
        true,
        Optional.empty());
  }

  void run(PrintStream out) {
    EntryInstance entry =
        new EntryInstance(
            0,
            new FailureDomain("region-0", "a"),
            this,
            this,
            DispatchPolicies.standard(random),
            System::nanoTime);
    Histogram histogram = new Histogram(LONGEST_NANOSECONDS, 3);
    for (int number = 0; number < WARM_UP_DECISIONS + DECISIONS; number++) {
      ModelRequest request = request(number);
      long started = System.nanoTime();
      Dispatch dispatch = entry.dispatcher.acquire(request).join();
      dispatch.finished(DispatchOutcome.SUCCEEDED);
      long elapsed = System.nanoTime() - started;
      if (number >= WARM_UP_DECISIONS) {
        histogram.recordValue(Math.min(elapsed, LONGEST_NANOSECONDS));
      }
    }
    out.printf(
        "routing decision runners=%d models=%d decisions=%d mean_us=%.2f p50_us=%.2f p95_us=%.2f"
            + " p99_us=%.2f%n",
        RUNNERS,
        MODELS,
        DECISIONS,
        histogram.getMean() / 1_000,
        histogram.getValueAtPercentile(50) / 1_000.0,
        histogram.getValueAtPercentile(95) / 1_000.0,
        histogram.getValueAtPercentile(99) / 1_000.0);
  }

  private ModelRequest request(int number) {
    List<Long> prefixes = new ArrayList<>(PREFIXES);
    long group = random.nextInt(1_000);
    for (int position = 0; position < PREFIXES; position++) {
      prefixes.add(group * PREFIXES + position);
    }
    return new ModelRequest(
        "request-" + number,
        FINGERPRINT,
        "caller",
        Fleet.modelName(random.nextInt(MODELS)),
        Priority.STANDARD,
        Duration.ofSeconds(30),
        2_000,
        500,
        100,
        prefixes);
  }

  @Override
  public ConfigurationDocument current() {
    return document;
  }

  @Override
  public void subscribe(Consumer<ConfigurationDocument> listener) {
    listener.accept(document);
  }

  @Override
  public List<Replica> replicas() {
    return replicas;
  }

  @Override
  public Optional<LoadReport> loadReport(String upstream) {
    return Optional.of(report);
  }
}
