package org.agatefield.fleet.placing;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.agatefield.daemon.configuration.ConfigurationManager;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.placing.LedgerDirectory;
import org.agatefield.daemon.placing.PlacementContext;
import org.agatefield.daemon.placing.PlacementController;
import org.agatefield.daemon.placing.PlacementTimings;
import org.agatefield.engine.EngineClientOptions;
import org.agatefield.engine.HttpEngineClient;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.placement.GainPlacement;
import org.agatefield.placement.GainSettings;
import org.agatefield.standin.engine.EngineStandin;
import org.agatefield.standin.engine.EngineStandinOptions;
import org.agatefield.standin.store.ObjectTable;
import org.agatefield.standin.store.StoreServer;
import org.agatefield.store.HttpObjectStore;
import org.agatefield.store.ObjectStore;
import org.agatefield.store.ResolvingObjectStore;

/** Runs a store, engines and planners in the test's process. Not thread-safe. */
final class PlacementBench implements AutoCloseable {
  private static final PlacementTimings TIMINGS =
      new PlacementTimings(
          Duration.ofMillis(50),
          Duration.ofSeconds(5),
          Duration.ofSeconds(1),
          Duration.ofMillis(200),
          Duration.ofSeconds(2),
          Duration.ofSeconds(2));

  final Closer closer = new Closer();
  final Vertx vertx = Vertx.vertx();
  final ObjectStore store;
  final HttpEngineClient engines;
  final ConfigurationManager keeper;
  final LedgerDirectory directory;
  final List<String> violations = new ArrayList<>();

  PlacementBench() {
    closer.register(() -> vertx.close().await());
    HttpServer server = new StoreServer(vertx, new ObjectTable()).listen(0).await();
    Address address = new Address("127.0.0.1", server.actualPort());
    HttpObjectStore client = new HttpObjectStore(vertx, address, Duration.ofSeconds(2));
    store = new ResolvingObjectStore(closer.register(client));
    engines = closer.register(new HttpEngineClient(vertx, EngineClientOptions.standard()));
    keeper =
        closer.register(
            new ConfigurationManager(
                    vertx,
                    store,
                    Duration.ofSeconds(1),
                    new MetricRegistry(),
                    new Monitor(),
                    FailPointHook.NONE)
                .start());
    directory =
        closer.register(
            new LedgerDirectory(vertx, store, Duration.ofSeconds(1), keeper, engines).start());
  }

  /** Starts a stand-in engine and returns its upstream configuration. */
  Upstream engine(String name, String domain, long memoryMegabytes, boolean checks) {
    int port =
        new EngineStandin(
                vertx,
                new EngineStandinOptions(
                    0, name, memoryMegabytes, checks, Optional.empty(), 1, 8, 1, 50))
            .start()
            .await();
    return new Upstream(
        name,
        UpstreamKind.MODEL_RUNNER,
        new Address("127.0.0.1", port),
        new FailureDomain("kochi", domain),
        1,
        memoryMegabytes,
        checks,
        Optional.empty());
  }

  /** Starts a planner that holds the lease while {@code token} supplies a fencing token. */
  PlacementController planner(Supplier<Optional<Long>> token, FailPointHook hook) {
    PlacementContext context =
        new PlacementContext(
            vertx,
            store,
            engines,
            () -> token.get().map(each -> new LeaseGrant(each, Long.MAX_VALUE)),
            keeper,
            List::of,
            new Directory(),
            new Monitor(),
            new MetricRegistry(),
            hook);
    return closer.register(
        new PlacementController(context, TIMINGS, new GainPlacement(GainSettings.standard()))
            .start());
  }

  @Override
  public void close() {
    closer.close();
  }

  /** Records invariant violations. */
  private final class Monitor implements InvariantMonitor {
    @Override
    public void check(Invariant promise, boolean holds, Supplier<String> evidence) {
      if (!holds) {
        violations.add(promise + ": " + evidence.get());
      }
    }

    @Override
    public long violations() {
      return violations.size();
    }
  }

  /** An instance directory that contains only this instance. */
  private static final class Directory implements InstanceDirectory {
    private final AtomicReference<Set<String>> leaving = new AtomicReference<>(Set.of());

    @Override
    public Instance self() {
      return new Instance(
          "self",
          new Address("127.0.0.1", 1),
          new Address("127.0.0.1", 2),
          new FailureDomain("kochi", "a"),
          InstanceState.LIVE);
    }

    @Override
    public Collection<Instance> alive() {
      return List.of(self());
    }

    @Override
    public Set<String> leavingUpstreams() {
      return leaving.get();
    }
  }
}
