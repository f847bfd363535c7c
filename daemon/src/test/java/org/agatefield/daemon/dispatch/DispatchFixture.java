package org.agatefield.daemon.dispatch;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.Adapter;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.model.LoadReport;
import org.agatefield.model.PlainService;
import org.agatefield.model.Priority;
import org.agatefield.model.Replica;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.VersionId;
import org.agatefield.model.WeightStoreLimits;
import org.agatefield.settings.DaemonSettings;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Creates a dispatcher whose configuration, replicas and instances are set by the test. Not
 * thread-safe.
 */
final class DispatchFixture
    implements ConfigurationSource,
        ReplicaDirectory,
        InstanceDirectory,
        InvariantMonitor,
        AutoCloseable {
  static final RequestFingerprint FINGERPRINT =
      RequestFingerprint.of("POST", "/", Optional.empty(), new byte[0]);

  static final VersionId VERSION = new VersionId("quotes", "1");
  static final FailureDomain HOME = new FailureDomain("north", "a");
  static final FailureDomain AWAY = new FailureDomain("south", "a");

  final Map<String, LoadReport> reports = new HashMap<>();
  final List<Instance> alive = new ArrayList<>();
  final MetricRegistry registry = new MetricRegistry();
  volatile Set<String> leaving = Set.of();
  volatile List<Replica> replicas = List.of();
  volatile ConfigurationDocument document;
  private final Vertx vertx = Vertx.vertx();
  private final Instance self = instance("self", 1, HOME, InstanceState.LIVE);
  private long violations;

  DispatchFixture(FailureDomain... runnerDomains) {
    List<Upstream> upstreams = new ArrayList<>();
    List<Replica> loaded = new ArrayList<>();
    for (int number = 0; number < runnerDomains.length; number++) {
      upstreams.add(runner(number, runnerDomains[number]));
      loaded.add(replica(number, false));
    }
    upstreams.add(serviceRunner());
    document = document(upstreams);
    replicas = loaded;
    alive.add(self);
  }

  RoutingDispatcher dispatcher(int queuedRequests) {
    DaemonSettings.Limits limits =
        new DaemonSettings.Limits(
            1_000_000,
            8_000,
            queuedRequests,
            1_000_000,
            Duration.ofSeconds(30),
            Duration.ofSeconds(5),
            Duration.ofSeconds(30),
            Duration.ofHours(1),
            Duration.ofMinutes(1));
    return new RoutingDispatcher(
        vertx, this, this, this, limits, registry, this, RandomSource.XO_SHI_RO_256_PP.create(1));
  }

  static ModelRequest request(String id, String model) {
    return new ModelRequest(
        id,
        FINGERPRINT,
        "caller",
        model,
        Priority.STANDARD,
        Duration.ofSeconds(30),
        100,
        10,
        10,
        List.of());
  }

  static Replica replica(int runner, boolean draining) {
    return new Replica(VERSION, "runner" + runner, draining, Set.of("tone"));
  }

  static Instance instance(String id, int port, FailureDomain domain, InstanceState state) {
    return new Instance(
        id, new Address("127.0.0.1", port), new Address("127.0.0.1", port), domain, state);
  }

  static LoadReport report(String boot, int running, int waiting, String... adapters) {
    return new LoadReport(
        boot, 100, 10, running, waiting, List.of("quotes@1"), List.of(adapters), 0);
  }

  private static Upstream runner(int number, FailureDomain domain) {
    return new Upstream(
        "runner" + number,
        UpstreamKind.MODEL_RUNNER,
        new Address("127.0.0.1", 9_000 + number),
        domain,
        1,
        100,
        true,
        Optional.empty());
  }

  private static Upstream serviceRunner() {
    return new Upstream(
        "booking0",
        UpstreamKind.SERVICE_RUNNER,
        new Address("127.0.0.1", 9_900),
        HOME,
        0,
        0,
        true,
        Optional.of("booking"));
  }

  private static ConfigurationDocument document(List<Upstream> upstreams) {
    Deployment deployment =
        new Deployment(
            "quotes", List.of(new DeploymentVersion("1", 10, 1)), Priority.INTERACTIVE, 1);
    return new ConfigurationDocument(
        1,
        List.of(deployment),
        List.of(new Adapter("tone", "quotes", 1)),
        List.of(),
        List.of(new PlainService("booking", List.of(), Optional.empty(), 1_000)),
        upstreams,
        new WeightStoreLimits(1, 1, 2));
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
    return Optional.ofNullable(reports.get(upstream));
  }

  @Override
  public Instance self() {
    return self;
  }

  @Override
  public Collection<Instance> alive() {
    return alive;
  }

  @Override
  public Set<String> leavingUpstreams() {
    return leaving;
  }

  @Override
  public void check(Invariant promise, boolean holds, Supplier<String> evidence) {
    violations += holds ? 0 : 1;
  }

  @Override
  public long violations() {
    return violations;
  }

  @Override
  public void close() {
    vertx.close();
  }
}
