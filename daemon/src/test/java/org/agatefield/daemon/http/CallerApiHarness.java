package org.agatefield.daemon.http;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.NetServer;
import io.vertx.ext.web.Router;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatefield.daemon.core.AdapterLoader;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.EntryAddresses;
import org.agatefield.daemon.core.EntryDirectory;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.NonRepeatableCall;
import org.agatefield.daemon.core.NonRepeatableCallExecutor;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.engine.EngineClientOptions;
import org.agatefield.engine.HttpEngineClient;
import org.agatefield.model.Adapter;
import org.agatefield.model.Address;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.model.PlainService;
import org.agatefield.model.Priority;
import org.agatefield.model.ServiceCall;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.WeightStoreLimits;
import org.agatefield.settings.DaemonSettings;
import org.agatefield.standin.engine.EngineStandin;
import org.agatefield.standin.engine.EngineStandinOptions;
import org.agatefield.standin.service.ServiceStandin;

/** Serves the API for callers over HTTP, with stand-in upstreams in the same process. */
final class CallerApiHarness implements AutoCloseable {
  static final String MODEL = "quotes";
  static final String ADAPTER = "kochi";
  private static final FailureDomain DOMAIN = new FailureDomain("kochi", "a");
  private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

  final Vertx vertx = Vertx.vertx();
  final RecordingDispatcher dispatcher = new RecordingDispatcher(MODEL);
  final MetricRegistry metrics = new MetricRegistry();
  final HttpEngineClient engines;
  final ShutdownCoordinator shutdown;
  final AtomicLong violations = new AtomicLong();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  final Address address;

  CallerApiHarness() {
    this(Duration.ofSeconds(20));
  }

  CallerApiHarness(Duration drainTimeout) {
    this(drainTimeout, (vertx, dispatcher) -> dispatcher);
  }

  /**
   * Creates a harness whose requests go through another dispatcher.
   *
   * @param decoration returns the dispatcher to use, which passes requests on to the given one
   */
  CallerApiHarness(Duration drainTimeout, BiFunction<Vertx, Dispatcher, Dispatcher> decoration) {
    EngineClientOptions standard = EngineClientOptions.standard();
    engines =
        new HttpEngineClient(
            vertx,
            new EngineClientOptions(
                standard.connectTimeout(),
                standard.loadReportTimeout(),
                standard.orderTimeout(),
                Duration.ofSeconds(2),
                standard.maximumAnswerBytes(),
                standard.maximumEventBytes(),
                standard.connectionsPerEngine()));
    CountingMonitor monitor = new CountingMonitor();
    shutdown =
        new ShutdownCoordinator(
            vertx, Duration.ofMillis(300), Duration.ofMillis(100), drainTimeout, () -> 0, monitor);
    DaemonSettings.Limits limits =
        new DaemonSettings.Limits(
            MAXIMUM_BODY_BYTES,
            8192,
            100,
            64L * 1024 * 1024,
            Duration.ofSeconds(30),
            Duration.ofMillis(300),
            Duration.ofSeconds(20),
            Duration.ofHours(1),
            Duration.ofSeconds(10));
    AdapterLoader loader = (runner, version, adapter) -> CompletableFuture.completedFuture(null);
    FixedDirectory directory = new FixedDirectory();
    CallerApi api =
        new CallerApi(
            new CallerApiDependencies(
                vertx,
                new FixedConfiguration(),
                decoration.apply(vertx, dispatcher),
                engines,
                loader,
                new UnguardedCalls(),
                directory,
                directory,
                shutdown,
                monitor,
                metrics,
                limits));
    Router router = Router.router(vertx);
    api.mount(router);
    HttpServer server =
        vertx
            .createHttpServer(new HttpServerOptions().setMaxHeaderSize(limits.headerBytes()))
            .requestHandler(router)
            .invalidRequestHandler(new InvalidRequestHandler());
    address = new Address("127.0.0.1", await(server.listen(0, "127.0.0.1")).actualPort());
  }

  static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }

  /** Starts an engine, loads the model and registers the engine with the dispatcher. */
  Address startEngine(int tokenMilliseconds) {
    Address engine = startLoadedEngine(tokenMilliseconds);
    dispatcher.addRunner(upstream(engine, UpstreamKind.MODEL_RUNNER));
    return engine;
  }

  /** Starts an engine and loads the model. */
  Address startLoadedEngine(int tokenMilliseconds) {
    EngineStandinOptions options =
        new EngineStandinOptions(
            0, "engine", 80_000, true, Optional.empty(), tokenMilliseconds, 64, 1, 0);
    int port = await(new EngineStandin(vertx, options).start());
    Address engine = new Address("127.0.0.1", port);
    post(
        engine,
        "/orders",
        "{\"action\":\"LOAD_VERSION\",\"version\":\"quotes@v1\",\"adapter\":\"\","
            + "\"memoryMegabytes\":1000,\"fencingToken\":1}");
    return engine;
  }

  Address startService() {
    int port = await(new ServiceStandin(vertx, 0, "booking").start());
    Address service = new Address("127.0.0.1", port);
    dispatcher.addServiceRunner(upstream(service, UpstreamKind.SERVICE_RUNNER));
    return service;
  }

  /** Starts an upstream that answers whatever it receives with the result of a function. */
  Address startUpstream(Function<Buffer, String> answer) {
    NetServer server =
        await(
            vertx
                .createNetServer()
                .connectHandler(
                    socket -> socket.handler(bytes -> socket.write(answer.apply(bytes))))
                .listen(0, "127.0.0.1"));
    return new Address("127.0.0.1", server.actualPort());
  }

  static Upstream upstream(Address upstreamAddress, UpstreamKind kind) {
    return new Upstream(
        kind + "-" + upstreamAddress.port(),
        kind,
        upstreamAddress,
        DOMAIN,
        1,
        80_000,
        true,
        Optional.empty());
  }

  HttpResponse<String> post(Address target, String path, String body, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + target + path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .header("Content-Type", "application/json");
    return send(headers.length == 0 ? builder : builder.headers(headers));
  }

  HttpResponse<String> get(Address target, String path) {
    return send(HttpRequest.newBuilder(URI.create("http://" + target + path)));
  }

  HttpResponse<String> send(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException exception) {
      throw new IllegalStateException(exception);
    }
  }

  @Override
  public void close() {
    await(vertx.close());
  }

  /** Counts violations. */
  private final class CountingMonitor implements InvariantMonitor {
    @Override
    public void check(Invariant promise, boolean holds, Supplier<String> evidence) {
      if (!holds) {
        violations.incrementAndGet();
      }
    }

    @Override
    public long violations() {
      return violations.get();
    }
  }

  /** Sends every call once, without claims. */
  private static final class UnguardedCalls implements NonRepeatableCallExecutor {
    @Override
    public CompletableFuture<ServiceResponse> execute(
        NonRepeatableCall call,
        ServiceRequest request,
        Dispatcher chooser,
        NonRepeatableCall.Sender sender) {
      return chooser
          .acquire(request)
          .thenCompose(
              dispatch ->
                  sender
                      .send(dispatch.upstream().address())
                      .whenComplete((done, failure) -> dispatch.finished(outcome(failure))));
    }

    @Override
    public int runningCalls() {
      return 0;
    }

    private static DispatchOutcome outcome(Throwable failure) {
      return failure == null ? DispatchOutcome.SUCCEEDED : DispatchOutcome.FAILED;
    }
  }

  /** One deployment with an adapter, one booking service, no callers. */
  private static final class FixedConfiguration implements ConfigurationSource {
    private final ConfigurationDocument document =
        new ConfigurationDocument(
            1,
            List.of(
                new Deployment(
                    MODEL, List.of(new DeploymentVersion("v1", 1000, 1)), Priority.INTERACTIVE, 1)),
            List.of(new Adapter(ADAPTER, MODEL, 10)),
            List.of(),
            List.of(
                new PlainService(
                    "booking",
                    List.of(new ServiceCall("POST", "/quotes", true)),
                    Optional.empty(),
                    5_000)),
            List.of(),
            new WeightStoreLimits(1, 1, 1));

    @Override
    public ConfigurationDocument current() {
      return document;
    }

    @Override
    public void subscribe(Consumer<ConfigurationDocument> listener) {
      listener.accept(document);
    }
  }

  /** Contains this instance only. */
  private final class FixedDirectory implements EntryDirectory, InstanceDirectory {
    @Override
    public EntryAddresses entriesFor(Optional<String> model, Optional<String> region) {
      return new EntryAddresses(List.of(address), Duration.ofSeconds(5));
    }

    @Override
    public Instance self() {
      return new Instance("one", address, address, DOMAIN, InstanceState.LIVE);
    }

    @Override
    public Collection<Instance> alive() {
      return List.of(self());
    }

    @Override
    public Set<String> leavingUpstreams() {
      return Set.of();
    }
  }
}
