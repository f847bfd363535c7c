package org.agatefield.daemon.dispatch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.AdapterLoader;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.engine.EngineClient;
import org.agatefield.engine.EngineOrder;
import org.agatefield.engine.OrderAction;
import org.agatefield.engine.OrderResult;
import org.agatefield.model.Adapter;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.LoadReport;
import org.agatefield.model.RunState;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;

/**
 * Loads adapters on demand, limited to this instance's share of the weight store's load limit.
 *
 * <p>Invariants: this instance has at most one load of an adapter on a runner in flight. The number
 * of its loads in flight is at most the shared limit divided by the number of live instances,
 * rounded down, but at least one. Thread-safe: state is guarded by {@code this}; futures are
 * completed outside the lock.
 */
public final class BoundedAdapterLoader implements AdapterLoader {
  private final EngineClient engines;
  private final ConfigurationSource configuration;
  private final ReplicaDirectory replicas;
  private final InstanceDirectory instances;
  private final Counter loads;
  private final Map<Key, CompletableFuture<Void>> inFlight = new HashMap<>();
  private final Map<Key, String> bootAtLoad = new HashMap<>();
  private final Deque<Load> waiting = new ArrayDeque<>();
  private int running;

  private record Key(String runner, VersionId version, String adapter) {}

  private record Load(Key key, Upstream runner, CompletableFuture<Void> result) {}

  /** Creates a loader without any loaded adapters. */
  public BoundedAdapterLoader(
      EngineClient engines,
      ConfigurationSource configuration,
      ReplicaDirectory replicas,
      InstanceDirectory instances,
      MetricRegistry registry) {
    this.engines = engines;
    this.configuration = configuration;
    this.replicas = replicas;
    this.instances = instances;
    this.loads = registry.counter("agatefield.dispatch.adapter-loads");
  }

  @Override
  public CompletableFuture<Void> ensureLoaded(Upstream runner, VersionId version, String adapter) {
    Key key = new Key(runner.name(), version, adapter);
    CompletableFuture<Void> result;
    synchronized (this) {
      if (isLoaded(key)) {
        return CompletableFuture.completedFuture(null);
      }
      CompletableFuture<Void> joined = inFlight.get(key);
      if (joined != null) {
        return joined.copy();
      }
      result = new CompletableFuture<>();
      inFlight.put(key, result);
      waiting.add(new Load(key, runner, result));
    }
    startQueuedLoads();
    return result.copy();
  }

  /**
   * Trusts an own completed load until a report lists the adapter or shows that the engine
   * restarted.
   */
  private boolean isLoaded(Key key) {
    Optional<LoadReport> report = replicas.loadReport(key.runner());
    if (report.isPresent() && report.get().adapters().contains(key.adapter())) {
      bootAtLoad.remove(key);
      return true;
    }
    String boot = report.map(LoadReport::bootIdentifier).orElse("");
    return boot.equals(bootAtLoad.get(key));
  }

  private void startQueuedLoads() {
    while (true) {
      Load load;
      synchronized (this) {
        if (waiting.isEmpty() || running >= maximumConcurrentLoads()) {
          return;
        }
        load = waiting.poll();
        running++;
      }
      start(load);
    }
  }

  private int maximumConcurrentLoads() {
    int limit = configuration.current().weightStore().adapterLoadsInFlight();
    return Math.max(1, limit / Math.max(1, instances.alive().size()));
  }

  private void start(Load load) {
    loads.inc();
    Optional<Adapter> adapter = configuration.current().adapter(load.key().adapter());
    if (adapter.isEmpty()) {
      finish(
          load,
          new AgatefieldException(
              ErrorKind.NOT_FOUND, "the adapter was removed from the configuration"));
      return;
    }
    EngineOrder order =
        new EngineOrder(
            OrderAction.LOAD_ADAPTER,
            load.key().version().engineName(),
            load.key().adapter(),
            adapter.get().memoryMegabytes(),
            0);
    engines
        .order(load.runner().address(), order)
        .whenComplete((result, failure) -> finish(load, failureOf(load, result, failure)));
  }

  /** Reports run state NO: no byte of the request was sent, whatever the result of the order. */
  private static AgatefieldException failureOf(Load load, OrderResult result, Throwable failure) {
    if (failure == null && result == OrderResult.DONE) {
      return null;
    }
    String what = failure == null ? result.name() : failure.getMessage();
    String message =
        "adapter " + load.key().adapter() + " was not loaded on " + load.key().runner();
    return new AgatefieldException(
        ErrorKind.NO_UPSTREAM, RunState.NO, message + ": " + what, null, failure);
  }

  private void finish(Load load, AgatefieldException failure) {
    synchronized (this) {
      running--;
      inFlight.remove(load.key());
      if (failure == null) {
        String boot =
            replicas.loadReport(load.key().runner()).map(LoadReport::bootIdentifier).orElse("");
        bootAtLoad.put(load.key(), boot);
      }
    }
    startQueuedLoads();
    if (failure == null) {
      load.result().complete(null);
    } else {
      load.result().completeExceptionally(failure);
    }
  }
}
