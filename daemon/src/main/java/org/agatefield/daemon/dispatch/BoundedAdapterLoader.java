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
 * Loads adapters on demand within this instance's share of the weight store's limit.
 *
 * <p>Invariants: at most one load of an adapter on a runner is in flight here; no more loads are in
 * flight here than the shared limit divided by the instances alive, rounded down, but at least one.
 * Safe for use by any thread; the one lock is {@code this}, futures are completed outside it.
 */
public final class BoundedAdapterLoader implements AdapterLoader {
  private final EngineClient engines;
  private final ConfigurationSource configuration;
  private final ReplicaDirectory replicas;
  private final InstanceDirectory instances;
  private final Counter loads;
  private final Map<Key, CompletableFuture<Void>> inFlight = new HashMap<>();
  private final Map<Key, String> loadedSince = new HashMap<>();
  private final Deque<Load> waiting = new ArrayDeque<>();
  private int running;

  private record Key(String runner, VersionId version, String adapter) {}

  private record Load(Key key, Upstream runner, CompletableFuture<Void> result) {}

  /** Creates a loader that has loaded nothing. */
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
    startWaiting();
    return result.copy();
  }

  /** What a load of ours did holds until the engine's reports name the adapter or a new start. */
  private boolean isLoaded(Key key) {
    Optional<LoadReport> report = replicas.loadReport(key.runner());
    if (report.isPresent() && report.get().adapters().contains(key.adapter())) {
      loadedSince.remove(key);
      return true;
    }
    String boot = report.map(LoadReport::bootIdentifier).orElse("");
    return boot.equals(loadedSince.get(key));
  }

  private void startWaiting() {
    while (true) {
      Load load;
      synchronized (this) {
        if (waiting.isEmpty() || running >= share()) {
          return;
        }
        load = waiting.poll();
        running++;
      }
      start(load);
    }
  }

  private int share() {
    int limit = configuration.current().weightStore().adapterLoadsInFlight();
    return Math.max(1, limit / Math.max(1, instances.alive().size()));
  }

  private void start(Load load) {
    loads.inc();
    Optional<Adapter> adapter = configuration.current().adapter(load.key().adapter());
    if (adapter.isEmpty()) {
      finish(load, new AgatefieldException(ErrorKind.NOT_FOUND, "the adapter was removed"));
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

  /** Nothing of the request was sent, whatever became of the order. */
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
        loadedSince.put(load.key(), boot);
      }
    }
    startWaiting();
    if (failure == null) {
      load.result().complete(null);
    } else {
      load.result().completeExceptionally(failure);
    }
  }
}
