package org.agatefield.fleet.calls;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.agatefield.daemon.calls.CallLimits;
import org.agatefield.daemon.calls.OutcomeQuery;
import org.agatefield.daemon.calls.StoreBackedCallExecutor;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.daemon.core.NonRepeatableCall;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Closer;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.model.PlainService;
import org.agatefield.model.Priority;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.VersionId;
import org.agatefield.standin.store.ObjectTable;
import org.agatefield.standin.store.StoreServer;
import org.agatefield.store.HttpObjectStore;

/**
 * Runs the call executors of several instances against one stand-in store in one process.
 *
 * <p>The service is a function that counts executions by key. Thread-safe.
 */
final class CallsBench implements AutoCloseable {
  private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);

  final Vertx vertx = Vertx.vertx();
  final Map<String, Integer> executions = new ConcurrentHashMap<>();
  final List<String> violations = new CopyOnWriteArrayList<>();
  final Set<String> aliveInstances = ConcurrentHashMap.newKeySet();
  final Closer closer = new Closer();
  private final Address storeAddress;
  private final Duration storeTimeout;

  CallsBench() {
    this(STORE_TIMEOUT);
  }

  CallsBench(Duration storeTimeout) {
    this.storeTimeout = storeTimeout;
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    HttpServer server =
        new StoreServer(vertx, new ObjectTable())
            .listen(0)
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    storeAddress = new Address("127.0.0.1", server.actualPort());
  }

  @Override
  public void close() {
    closer.close();
  }

  /** Sets the store's faults, as JSON. */
  void storeFaults(String faults) {
    http("POST", "/faults", faults);
  }

  /** Returns the store's call counters, as JSON. */
  String storeCounts() {
    return http("GET", "/counts", "");
  }

  HttpObjectStore newStore() {
    return closer.register(new HttpObjectStore(vertx, storeAddress, storeTimeout));
  }

  /** Returns limits with short durations to keep tests fast. */
  static CallLimits shortLimits(Duration retention) {
    return new CallLimits(
        retention,
        Duration.ofMillis(1),
        Duration.ofSeconds(1),
        Duration.ofMillis(300),
        Duration.ofMinutes(1));
  }

  StoreBackedCallExecutor newInstance(String id, FailPointHook hook, OutcomeQuery outcomes) {
    return newInstance(id, hook, outcomes, shortLimits(Duration.ofHours(1)));
  }

  StoreBackedCallExecutor newInstance(
      String id, FailPointHook hook, OutcomeQuery outcomes, CallLimits limits) {
    aliveInstances.add(id);
    HttpObjectStore store = newStore();
    StoreBackedCallExecutor instance =
        closer.register(
            new StoreBackedCallExecutor(
                vertx,
                store,
                new Directory(id),
                outcomes,
                limits,
                hook,
                new Monitor(),
                new MetricRegistry()));
    store.onHistoryLost(instance::historyLost);
    return instance;
  }

  /**
   * Returns a sender that counts the execution and completes with the future from {@code answer}.
   */
  NonRepeatableCall.Sender sender(
      String key, Function<Integer, CompletableFuture<ServiceResponse>> answer) {
    return upstream -> answer.apply(executions.merge(key, 1, Integer::sum));
  }

  static ServiceResponse exchange(String body) {
    return new ServiceResponse(
        201,
        List.of(new ServiceResponse.Header("Content-Type", "application/json")),
        Buffer.buffer(body));
  }

  CompletableFuture<ServiceResponse> call(
      StoreBackedCallExecutor instance,
      String key,
      String body,
      Duration remaining,
      NonRepeatableCall.Sender sender) {
    PlainService service = new PlainService("booking", List.of(), Optional.empty(), 2_000);
    return call(instance, service, key, body, remaining, new FreeDispatcher(), sender);
  }

  CompletableFuture<ServiceResponse> call(
      StoreBackedCallExecutor instance,
      PlainService service,
      String key,
      String body,
      Duration remaining,
      Dispatcher dispatcher,
      NonRepeatableCall.Sender sender) {
    NonRepeatableCall call =
        new NonRepeatableCall(
            "request", "caller", service, "POST", "/bookings", key, body, remaining);
    ServiceRequest request =
        new ServiceRequest(
            "request",
            RequestFingerprint.of("POST", "/", Optional.empty(), new byte[0]),
            "caller",
            "booking",
            Priority.values()[0],
            remaining,
            10);
    return instance.execute(call, request, dispatcher, sender);
  }

  private String http(String method, String path, String body) {
    java.net.http.HttpRequest request =
        java.net.http.HttpRequest.newBuilder(java.net.URI.create("http://" + storeAddress + path))
            .method(method, java.net.http.HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return java.net.http.HttpClient.newHttpClient()
          .send(request, java.net.http.HttpResponse.BodyHandlers.ofString())
          .body();
    } catch (Exception exception) {
      throw new IllegalStateException(exception);
    }
  }

  private final class Directory implements InstanceDirectory {
    private final String id;

    Directory(String id) {
      this.id = id;
    }

    @Override
    public Instance self() {
      return instance(id);
    }

    @Override
    public Collection<Instance> alive() {
      return new ArrayList<>(aliveInstances).stream().map(CallsBench::instance).toList();
    }

    @Override
    public Set<String> leavingUpstreams() {
      return Set.of();
    }
  }

  private static Instance instance(String id) {
    Address address = new Address("127.0.0.1", 1);
    return new Instance(id, address, address, new FailureDomain("r", "f"), InstanceState.LIVE);
  }

  private final class Monitor implements InvariantMonitor {
    @Override
    public void check(
        Invariant promise, boolean holds, java.util.function.Supplier<String> evidence) {
      if (!holds) {
        violations.add(promise + ": " + evidence.get());
      }
    }

    @Override
    public long violations() {
      return violations.size();
    }
  }

  /** Admits every request; each acquisition uses up one of a fixed number of upstreams. */
  static final class FreeDispatcher implements Dispatcher {
    private final AtomicLong attempts = new AtomicLong();
    private final int upstreams;

    FreeDispatcher() {
      this(1);
    }

    FreeDispatcher(int upstreams) {
      this.upstreams = upstreams;
    }

    @Override
    public CompletableFuture<Dispatch> acquire(ModelRequest request) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Dispatch> acquire(ServiceRequest request) {
      long number = attempts.incrementAndGet();
      if (number > upstreams) {
        return CompletableFuture.failedFuture(
            new AgatefieldException(ErrorKind.NO_UPSTREAM, "no upstream left"));
      }
      return CompletableFuture.completedFuture(new FreeDispatch(number));
    }

    @Override
    public CompletableFuture<Dispatch> reacquire(Dispatch failed, DispatchOutcome outcome) {
      return acquire((ServiceRequest) null);
    }
  }

  private record FreeDispatch(long attemptNumber) implements Dispatch {
    @Override
    public Upstream upstream() {
      return new Upstream(
          "runner",
          UpstreamKind.values()[0],
          new Address("127.0.0.1", 1),
          new FailureDomain("r", "f"),
          0,
          0,
          false,
          Optional.of("booking"));
    }

    @Override
    public Optional<VersionId> version() {
      return Optional.empty();
    }

    @Override
    public Optional<String> adapter() {
      return Optional.empty();
    }

    @Override
    public void responseStarted() {}

    @Override
    public void finished(DispatchOutcome outcome) {}
  }
}
