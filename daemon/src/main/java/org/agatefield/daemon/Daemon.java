package org.agatefield.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;
import org.agatefield.daemon.calls.CallLimits;
import org.agatefield.daemon.calls.ClaimSweeper;
import org.agatefield.daemon.calls.StoreBackedCallExecutor;
import org.agatefield.daemon.configuration.ConfigurationManager;
import org.agatefield.daemon.core.DemandSource;
import org.agatefield.daemon.core.FailPointHook;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.dispatch.BoundedAdapterLoader;
import org.agatefield.daemon.dispatch.HomeEntryDirectory;
import org.agatefield.daemon.dispatch.QuarantiningDispatcher;
import org.agatefield.daemon.dispatch.RoutingDispatcher;
import org.agatefield.daemon.http.CallerApi;
import org.agatefield.daemon.http.CallerApiDependencies;
import org.agatefield.daemon.http.HttpOutcomeQuery;
import org.agatefield.daemon.http.InvalidRequestHandler;
import org.agatefield.daemon.http.ShutdownCoordinator;
import org.agatefield.daemon.leases.LeaseManager;
import org.agatefield.daemon.operate.OperatorApi;
import org.agatefield.daemon.operate.OperatorApiDependencies;
import org.agatefield.daemon.peers.PeerCoordinator;
import org.agatefield.daemon.placing.LedgerDirectory;
import org.agatefield.daemon.placing.PlacementContext;
import org.agatefield.daemon.placing.PlacementController;
import org.agatefield.daemon.placing.PlacementTimings;
import org.agatefield.daemon.quarantine.CrashProtection;
import org.agatefield.engine.EngineClient;
import org.agatefield.engine.EngineClientOptions;
import org.agatefield.engine.HttpEngineClient;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.agatefield.model.DemandSample;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.placement.GainPlacement;
import org.agatefield.placement.GainSettings;
import org.agatefield.routing.HomeInstances;
import org.agatefield.settings.DaemonSettings;
import org.agatefield.store.HttpObjectStore;
import org.agatefield.store.StoreInstanceList;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Creates and connects the components of a daemon and owns them until it shuts down.
 *
 * <p>{@link #start()} must be called once, before {@link #shutDownGracefully()}; they may be called
 * by different threads.
 */
final class Daemon {
  private static final Logger LOGGER = LogManager.getLogger(Daemon.class);
  private static final String PLANNER_LEASE = "planner";
  private static final String CLAIM_SWEEPER_LEASE = "claim-sweeper";
  private static final Duration CLAIM_SWEEP_INTERVAL = Duration.ofMinutes(1);
  private static final Duration LEASE_DURATION = Duration.ofSeconds(6);
  private static final Duration PROPAGATION_ALLOWANCE = Duration.ofSeconds(2);
  private static final double REQUESTS_PER_SECOND_PER_HOME = 50;
  private static final int MINIMUM_HOMES = 2;
  private static final int EVENT_LOOPS = 2;
  private static final int WORKERS = 4;

  private final Closer closer = new Closer();
  private final MetricRegistry metrics = new MetricRegistry();
  private final InvariantMonitor monitor = new CountingInvariantMonitor(metrics);
  private final DaemonSettings settings;
  private final FailPointHook hook;
  private final Vertx vertx;
  private final HttpObjectStore store;
  private final EngineClient engines;
  private final ConfigurationManager configuration;
  private final LedgerDirectory ledgers;
  private PeerCoordinator peers;
  private CrashProtection crashProtection;
  private RoutingDispatcher dispatcher;
  private StoreBackedCallExecutor calls;
  private ShutdownCoordinator shutdown;
  private LeaseManager plannerLease;
  private final AtomicReference<DemandSource> localDemand = new AtomicReference<>(List::of);

  Daemon(DaemonSettings settings, FailPointHook hook) {
    this.settings = settings;
    this.hook = hook;
    DaemonSettings.Platform platform = settings.platform();
    vertx =
        Vertx.vertx(
            new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS).setWorkerPoolSize(WORKERS));
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().get());
    store = closer.register(new HttpObjectStore(vertx, platform.store(), platform.storeTimeout()));
    HttpEngineClient engineClient =
        closer.register(new HttpEngineClient(vertx, EngineClientOptions.standard()));
    metrics.gauge(
        "agatefield.engines.crossed-answers", () -> (Gauge<Long>) engineClient::crossedAnswers);
    engines = engineClient;
    configuration =
        closer.register(
            new ConfigurationManager(
                vertx, store, platform.pollInterval(), metrics, monitor, hook));
    store.onHistoryLost(configuration::historyLost);
    ledgers =
        closer.register(
            new LedgerDirectory(vertx, store, platform.pollInterval(), configuration, engines));
  }

  void start() throws ListenException {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    String instanceId = settings.instanceName() + "-" + Integer.toHexString(random.nextInt());
    LOGGER.info("starting instance={} failure_domain={}", instanceId, settings.failureDomain());
    startPeers(instanceId, random);
    startCrashProtection();
    startDispatcher(random);
    startCalls(instanceId);
    startPlanner(instanceId);
    configuration.start();
    ledgers.start();
    listen(routes());
    peers.join(); // last: other instances direct callers to this one as soon as it joins
  }

  private void startPeers(String instanceId, UniformRandomProvider random) {
    StoreInstanceList instanceList =
        closer.register(new StoreInstanceList(vertx, store, settings.platform().pollInterval()));
    Instance self =
        new Instance(
            instanceId,
            settings.listeners().callers(),
            settings.listeners().peers(),
            settings.failureDomain(),
            InstanceState.LIVE);
    peers =
        closer.register(
            new PeerCoordinator(
                self,
                settings.peers(),
                settings.tls().map(TlsSetup::forPeers),
                instanceList,
                configuration,
                configuration,
                () -> localDemand.get().localDemand(),
                metrics,
                random));
  }

  private void startCrashProtection() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    crashProtection =
        closer.register(
            new CrashProtection(
                vertx, store, peers, peers::leavingUpstreams, random::nextInt, metrics));
    peers.onCrashEvidence(crashProtection::evidenceReceived);
    store.onHistoryLost(era -> crashProtection.storeLostHistory());
    crashProtection.start();
  }

  private void startDispatcher(UniformRandomProvider random) {
    dispatcher =
        new RoutingDispatcher(
            vertx, configuration, ledgers, peers, settings.limits(), metrics, monitor, random);
    closer.register(dispatcher);
    localDemand.set(dispatcher);
  }

  private void startCalls(String instanceId) {
    DaemonSettings.Limits limits = settings.limits();
    CallLimits callLimits = CallLimits.withRetention(limits.claimRetention());
    calls =
        closer.register(
            new StoreBackedCallExecutor(
                vertx,
                store,
                peers,
                new HttpOutcomeQuery(vertx, configuration),
                callLimits,
                hook,
                monitor,
                metrics));
    store.onHistoryLost(calls::historyLost);
    LeaseManager sweeperLease =
        closer.register(
            new LeaseManager(vertx, store, CLAIM_SWEEPER_LEASE, instanceId, LEASE_DURATION));
    closer.register(
        new ClaimSweeper(vertx, store, sweeperLease, callLimits, CLAIM_SWEEP_INTERVAL, metrics));
    shutdown =
        new ShutdownCoordinator(
            vertx,
            limits.entryTimeToLive(),
            PROPAGATION_ALLOWANCE,
            limits.drainTimeout(),
            calls::runningCalls,
            monitor);
  }

  private void startPlanner(String instanceId) {
    plannerLease =
        closer.register(new LeaseManager(vertx, store, PLANNER_LEASE, instanceId, LEASE_DURATION));
    PlacementContext parts =
        new PlacementContext(
            vertx,
            store,
            engines,
            plannerLease,
            configuration,
            peers,
            peers,
            monitor,
            metrics,
            hook);
    DaemonSettings.Limits limits = settings.limits();
    PlacementTimings terms =
        PlacementTimings.standard(limits.orderQuarantine(), limits.defaultDeadline());
    closer.register(
        new PlacementController(parts, terms, new GainPlacement(GainSettings.standard())).start());
  }

  private Router routes() {
    Router router = Router.router(vertx);
    router.get("/metrics").handler(new MetricsHandler(metrics));
    OperatorApiDependencies operatorApiDependencies =
        new OperatorApiDependencies(
            configuration, peers, ledgers, plannerLease, monitor, this::drainOnRequest);
    new OperatorApi(operatorApiDependencies, settings.operatorTokenSha256()).mount(router);
    router.get("/operator/explain/request").handler(new RequestExplanationRoute(dispatcher));
    new CallerApi(callerApiDependencies()).mount(router);
    return router;
  }

  private CallerApiDependencies callerApiDependencies() {
    HomeEntryDirectory entries =
        new HomeEntryDirectory(
            peers,
            new HomeInstances(REQUESTS_PER_SECOND_PER_HOME, MINIMUM_HOMES),
            this::requestsPerSecond,
            settings.limits().entryTimeToLive());
    return new CallerApiDependencies(
        vertx,
        configuration,
        new QuarantiningDispatcher(dispatcher, crashProtection),
        engines,
        new BoundedAdapterLoader(engines, configuration, ledgers, peers, metrics),
        calls,
        entries,
        peers,
        shutdown,
        monitor,
        metrics,
        settings.limits());
  }

  private double requestsPerSecond(String deployment) {
    return peers.totalDemand().stream()
        .filter(sample -> sample.deployment().equals(deployment))
        .mapToDouble(DemandSample::requestsPerSecond)
        .sum();
  }

  private void listen(Router router) throws ListenException {
    Address address = settings.listeners().callers();
    HttpServerOptions options =
        new HttpServerOptions()
            .setMaxHeaderSize(settings.limits().headerBytes())
            .setTcpNoDelay(true);
    settings.tls().ifPresent(tls -> TlsSetup.apply(tls, options));
    try {
      vertx
          .createHttpServer(options)
          .requestHandler(router)
          .invalidRequestHandler(new InvalidRequestHandler())
          .listen(address.port(), address.host())
          .toCompletionStage()
          .toCompletableFuture()
          .join();
    } catch (CompletionException exception) {
      throw new ListenException(address, exception.getCause());
    }
    LOGGER.info("listening callers={} peers={}", address, settings.listeners().peers());
  }

  /** Ends the process gracefully from a separate thread, since the shutdown blocks. */
  private CompletableFuture<Void> drainOnRequest() {
    Thread thread = new Thread(() -> System.exit(0), "drain");
    thread.setDaemon(true);
    thread.start();
    return CompletableFuture.completedFuture(null);
  }

  /**
   * Waits for running requests, then closes all components; returns whether no request was
   * interrupted.
   */
  boolean shutDownGracefully() {
    boolean complete = shutdown.beginShutdown(peers::leave).join();
    LOGGER.info("closing complete={} violations={}", complete, monitor.violations());
    closer.close();
    return complete;
  }
}
