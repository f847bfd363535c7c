package org.agatefield.daemon.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.DoubleStream;
import org.agatefield.admission.FleetSize;
import org.agatefield.admission.QuotaTolerance;
import org.agatefield.cost.LearnedRates;
import org.agatefield.cost.RateKind;
import org.agatefield.daemon.connections.BoundedAcceptance;
import org.agatefield.daemon.connections.ConnectionBounds;
import org.agatefield.daemon.connections.ConnectionGuard;
import org.agatefield.daemon.connections.HeldConnections;
import org.agatefield.daemon.forward.wire.PlatformDialect;
import org.agatefield.daemon.leases.LeaseManager;
import org.agatefield.daemon.quarantine.ConnectionProbe;
import org.agatefield.daemon.quarantine.CrashDetector;
import org.agatefield.daemon.quarantine.QuarantineRecords;
import org.agatefield.daemon.quarantine.RequestQuarantine;
import org.agatefield.daemon.quarantine.Timers;
import org.agatefield.forwarding.AccountTable;
import org.agatefield.forwarding.AccountUsageSharing;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.LikelyBestChooser;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.RunnerEstimates;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.forwarding.ServiceDefinition;
import org.agatefield.forwarding.ServicePressure;
import org.agatefield.forwarding.StartInTimePolicy;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.RunnerState;
import org.agatefield.knowledge.TargetPressure;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Closer;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.peer.PeerTransportSettings;
import org.agatefield.placement.DemandReplicaPolicy;
import org.agatefield.placement.WorkRates;
import org.agatefield.settings.ForwardingSettings;
import org.agatefield.store.HttpObjectStore;
import org.agatefield.store.InformerListener;
import org.agatefield.store.ObjectInformer;
import org.agatefield.store.ObjectKind;
import org.agatefield.store.ObjectSource;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Assembles a forwarding daemon and manages its lifecycle.
 *
 * <p>{@link #start()} and {@link #shutDown()} are called once each, from outside the event loop to
 * which all state is confined.
 */
public final class ForwardingDaemon {
  private static final Logger LOGGER = LogManager.getLogger(ForwardingDaemon.class);
  private static final String PLANNER_LEASE = "planner";
  // Allows a takeover within five seconds.
  private static final Duration LEASE_DURATION = Duration.ofSeconds(4);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
  // Polling only verifies the watch.
  private static final Duration STORE_POLL = Duration.ofSeconds(60);
  private static final Duration MAXIMUM_STORE_DELAY = Duration.ofMillis(1_000);
  private static final int CONNECT_MILLISECONDS = 400; // Several times the latency between regions.
  private static final int CONNECTIONS_PER_RUNNER = 400;
  // A tenth of the time that expired entries are retained.
  private static final long EXPIRY_CHECK_MILLISECONDS = 240;
  // Most callers have queried the directory again by then.
  private static final long REFUSAL_DELAY_MILLISECONDS = 1_500;
  private static final long CONNECTION_CHECK_MILLISECONDS = 1_000;
  private static final long SHUTDOWN_CHECK_MILLISECONDS = 50;
  private static final long MINIMUM_LEAVING_MILLISECONDS = 3_500;
  private static final long GRACE_MARGIN_MILLISECONDS = 500;
  // Leaves the rest of the margin for closing.
  private static final long LAST_WRITES_MILLISECONDS = 300;
  private static final double MILLISECONDS_PER_SECOND = 1_000;
  // Rates that others have learned change over seconds.
  private static final long RATES_REFRESH_MILLISECONDS = 1_920;
  private static final int LOWEST_PRIORITY = 9;

  private final Closer closer = new Closer();
  private final MetricRegistry metrics = new MetricRegistry();
  private final Counter crashCount = metrics.counter("agatefield.runners.crashes");
  private final Counter uncaughtExceptions =
      metrics.counter("agatefield.event-loop.uncaught-exceptions");
  private final ForwardingSettings settings;
  private final PlatformDialect dialect;
  private final Vertx vertx;
  private final Context context;
  private final ModelPresence presence = new ModelPresence();
  private final DemandMeter demand = new DemandMeter();
  private final EventLoopDelay delay = new EventLoopDelay();
  private final ResponseMemory responseMemory = new ResponseMemory();
  private final UnwrittenResponses unwritten = new UnwrittenResponses();
  private final ConnectionBounds bounds;
  private final ConnectionGuard connections;
  private WaitingRequests waiting;
  private RoomAllocation room;
  private final Set<RequestExchange> exchanges = new HashSet<>();
  private final ConfigurationTracker configuration;
  private final RunnerDirectory runners;
  private final SnapshotExchange snapshots;
  private final Map<String, ObjectRelay> objectRelays = new HashMap<>();
  private final List<ObjectInformer> informers = new ArrayList<>();
  private KnowledgeTable<RunnerState> runnerStates;
  private LearnedRates rates;
  private RunnerLoads loads;
  private RunnerEstimates estimates;
  private ForwardingPeers peers;
  private LoadExchange loadExchange;
  private KnowledgeExchange knowledge;
  private EntryDirectory directory;
  private PlannerClient plannerClient;
  private RunnerAvailability availability;
  private RunnerLimits limits;
  private RunnerPermits permits;
  private RequestQuarantine quarantine;
  private FleetSize fleetSize;
  private RegionalQuotaPolicy quotas;
  private ModelPlanner planner;
  private LeaseManager lease;
  private final StopState stop = new StopState();
  private IngressServer ingress;

  /** Creates a daemon without starting anything. */
  public ForwardingDaemon(ForwardingSettings settings, PlatformDialect dialect) {
    this(settings, dialect, newVertx(settings));
  }

  /**
   * Creates a daemon that runs on one event loop of {@code vertx} and closes it on shutdown; starts
   * nothing yet.
   */
  public ForwardingDaemon(ForwardingSettings settings, PlatformDialect dialect, Vertx vertx) {
    this.settings = settings;
    this.dialect = dialect;
    this.vertx = vertx;
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().get());
    vertx.exceptionHandler(this::exceptionUncaught);
    this.context = vertx.getOrCreateContext();
    this.configuration = new ConfigurationTracker(dialect.storedObjects());
    this.runners = new RunnerDirectory(dialect.storedObjects());
    this.snapshots =
        new SnapshotExchange(vertx, configuration, runners, dialect.store()::contentLimits);
    this.bounds = ConnectionBounds.ofProcess(settings.descriptors());
    HeldConnections held =
        new HeldConnections(bounds, () -> responseMemory.totalBytes() + unwritten.totalBytes());
    this.connections = new ConnectionGuard(held, this::ingressLimits, MonotonicClock::milliseconds);
    connections.register(metrics);
  }

  private IngressLimits ingressLimits() {
    return configuration.table().map(ForwardingTable::limits).orElse(IngressLimits.DEFAULTS);
  }

  /** Returns the default runtime of a daemon, with one event loop. */
  public static Vertx newVertx(ForwardingSettings settings) {
    return Vertx.builder()
        .with(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1))
        .withTransport(new BoundedAcceptance(ConnectionBounds.ofProcess(settings.descriptors())))
        .build();
  }

  private void exceptionUncaught(Throwable exception) {
    uncaughtExceptions.inc();
    LOGGER.error("uncaught exception on an event loop", exception);
  }

  /**
   * Starts the daemon and returns when it listens on all addresses; closes everything on failure.
   *
   * @throws AgatefieldException if an address is already in use
   */
  public void start() {
    CompletableFuture<Void> started = new CompletableFuture<>();
    try {
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
      createPeers(random);
      context.runOnContext(
          run -> {
            try {
              startComponents(random, started);
            } catch (RuntimeException exception) {
              started.completeExceptionally(exception);
            }
          });
      started.join();
    } catch (AgatefieldException | CompletionException exception) {
      closer.close(); // Threads that were already started would keep the process alive.
      Throwable cause = exception.getCause() == null ? exception : exception.getCause();
      throw new AgatefieldException(ErrorKind.INTERNAL, "the daemon did not start", cause);
    }
    LOGGER.info(
        "started callers={} directory={} peers={} store={}",
        settings.listeners().callers(),
        settings.listeners().directory(),
        settings.listeners().peers(),
        settings.store());
  }

  private void createPeers(UniformRandomProvider random) {
    String id = settings.instanceName() + "-" + Integer.toHexString(random.nextInt());
    LOGGER.info("starting instance={} failure_domain={}", id, settings.failureDomain());
    Instance self =
        new Instance(
            id,
            settings.listeners().callers(),
            settings.listeners().peers(),
            settings.failureDomain(),
            InstanceState.LIVE);
    peers =
        closer.register(new ForwardingPeers(self, context, metrics, random, transportSettings()));
  }

  private PeerTransportSettings transportSettings() {
    return PeerTransportSettings.defaults().withinConnections(bounds.connections());
  }

  private void startComponents(UniformRandomProvider random, CompletableFuture<Void> started) {
    knowledge =
        new KnowledgeExchange(peers, settings.failureDomain(), MonotonicClock::milliseconds);
    directory =
        new EntryDirectory(
            peers.self(), settings.capacity().processors(), delay, peers::answering, knowledge);
    runnerStates = knowledge.share(RunnerState.KIND);
    rates =
        new LearnedRates(
            knowledge.share(RateKind.RUNNER_SPEED), knowledge.share(RateKind.MODEL_PACE));
    loads = new RunnerLoads(rates);
    estimates = new RunnerEstimates(rates, loads, runnerStates);
    room =
        new RoomAllocation(
            configuration::table,
            new StartInTimePolicy(),
            new AccountUsageSharing(knowledge.share(AccountUsageSharing.KIND)),
            new ServicePressure(knowledge.share(TargetPressure.KIND)));
    waiting =
        new WaitingRequests(
            (delay, work) -> vertx.setTimer(Math.max(1, delay), fired -> work.run()),
            MonotonicClock::milliseconds,
            room.order());
    plannerClient = new PlannerClient(peers, presence, waiting, demand, () -> lease.refresh());
    loadExchange = new LoadExchange(peers, loads, settings.failureDomain());
    availability = new RunnerAvailability(peers::broadcast);
    fleetSize = new FleetSize(() -> peers.alive().size());
    limits = new RunnerLimits(MonotonicClock::milliseconds, peers::broadcast);
    permits =
        new RunnerPermits(
            MonotonicClock::milliseconds, peers, fleetSize, limits, new DirectoryRunners());
    quotas =
        new RegionalQuotaPolicy(
            (delay, work) -> vertx.setTimer(delay, fired -> work.run()),
            MonotonicClock::milliseconds,
            peers,
            quotaTolerance(),
            fleetSize,
            this::accounts);
    HttpObjectStore store =
        closer.register(
            new HttpObjectStore(vertx, settings.store(), STORE_TIMEOUT, dialect.store()));
    Timers timers =
        (delay, task) ->
            context.runOnContext(run -> vertx.setTimer(Math.max(1, delay), fired -> task.run()));
    quarantine =
        new RequestQuarantine(
            MonotonicClock::milliseconds,
            timers,
            peers,
            new QuarantineRecords(store, System::currentTimeMillis, timers),
            random::nextInt,
            trait -> List.copyOf(exchanges).forEach(RequestExchange::endQuarantined));
    store.onHistoryLost(era -> context.runOnContext(run -> quarantine.storeLostHistory()));
    createWatches(store);
    startForwarding(random);
    startPlanner(store, peers.self().id());
    snapshots.start(peers);
    startTimers();
    peers.start(
        settings.peers(),
        new PeerInbox(
            snapshots,
            Map.copyOf(objectRelays),
            loadExchange,
            plannerClient,
            availability,
            quotas,
            limits,
            permits,
            quarantine,
            knowledge));
    new EntryListeners(
            vertx,
            settings,
            dialect.callers(),
            () -> configuration.table().isPresent() && !stop.isLeaving(),
            directory,
            connections)
        .listen(ingress, metrics)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                started.completeExceptionally(failure);
              } else {
                vertx.runOnContext(run -> quarantine.start());
                // The timeout of the first response must not include the time that the start
                // occupies the loop.
                vertx.runOnContext(run -> informers.forEach(ObjectInformer::start));
                started.complete(null);
              }
            });
  }

  private void createWatches(HttpObjectStore store) {
    configuration.listen(table -> peers.announceConfigurationVersion(table.version()));
    ObjectSource source =
        new RelayedObjectSource(
            vertx,
            store,
            () -> peers.relays().sources(),
            peers::request,
            dialect.store()::contentLimits);
    createWatch(source, ObjectKind.CONFIGURATION, configuration);
    createWatch(source, ObjectKind.RUNNER, runners);
  }

  private void createWatch(ObjectSource source, ObjectKind kind, InformerListener listener) {
    ObjectRelay relay = new ObjectRelay(vertx, peers.self().id(), MonotonicClock::milliseconds);
    objectRelays.put(kind.plural(), relay);
    ObjectInformer informer =
        new ObjectInformer(vertx, source, kind, STORE_POLL, MAXIMUM_STORE_DELAY);
    informers.add(closer.register(informer.listen(listener).listen(relay)));
  }

  private void startForwarding(UniformRandomProvider random) {
    HttpClient client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_1_1)
                .setKeepAlive(false)
                .setConnectTimeout(CONNECT_MILLISECONDS)
                .setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_RUNNER));
    closer.register(client::close);
    RunnerSelector selector =
        new RunnerSelector(
            settings.failureDomain(),
            settings.regions(),
            runners,
            estimates,
            this::cacheTokens,
            presence,
            availability,
            permits,
            new LikelyBestChooser(random));
    NetClient prober =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_MILLISECONDS));
    closer.register(prober::close);
    CrashDetector crashes =
        new CrashDetector(
            vertx,
            new ConnectionProbe(prober),
            MonotonicClock::milliseconds,
            (process, traits) -> {
              crashCount.inc();
              quarantine.crashed(process, traits);
            });
    runners.listen(new CrashedRunnerListener(crashes));
    ingress =
        new IngressServer(
            new ForwardingContext(
                vertx,
                delay,
                responseMemory,
                client,
                dialect,
                new HeaderRules(dialect.callers().reservedHeaders()),
                configuration::table,
                selector,
                availability,
                crashes,
                quarantine,
                limits,
                permits,
                room,
                estimates,
                presence,
                plannerClient,
                quotaPolicy(),
                new RetryBudgets(settings.terms(), fleetSize),
                demand,
                waiting,
                exchanges,
                new ForwardingMetrics(metrics),
                stop,
                unwritten));
    metrics.registerGauge("agatefield.forwarding.waiting", (Gauge<Integer>) waiting::size);
    for (int priority = 0; priority <= LOWEST_PRIORITY; priority++) {
      int each = priority;
      metrics.registerGauge(
          "agatefield.forwarding.waiting.priority-" + each,
          (Gauge<Long>) () -> waiting.count(each));
    }
    metrics.registerGauge("agatefield.forwarding.open", (Gauge<Integer>) ingress::open);
    metrics.registerGauge(
        "agatefield.forwarding.answer-bytes", (Gauge<Long>) responseMemory::totalBytes);
    metrics.registerGauge(
        "agatefield.forwarding.unwritten-bytes", (Gauge<Long>) unwritten::totalBytes);
    metrics.registerGauge(
        "agatefield.requests.quarantined-traits", (Gauge<Integer>) quarantine::size);
    metrics.registerGauge(
        "agatefield.runners.work-left-milliseconds.greatest",
        (Gauge<Double>) () -> workLeft().max().orElse(0));
    metrics.registerGauge(
        "agatefield.runners.work-left-milliseconds.mean",
        (Gauge<Double>) () -> workLeft().average().orElse(0));
    metrics.registerGauge("agatefield.runners.limited", (Gauge<Integer>) limits::count);
    metrics.registerGauge("agatefield.configuration.version", (Gauge<Long>) configuration::version);
    metrics.registerGauge(
        "agatefield.runners.age-milliseconds", (Gauge<Long>) runners::ageMilliseconds);
  }

  private DoubleStream workLeft() {
    return estimates.workLeftMilliseconds(MonotonicClock.milliseconds()).values().stream()
        .mapToDouble(Double::doubleValue);
  }

  /** Returns the token memory of each runner of a service; 0 if it has none. */
  private long cacheTokens(String service) {
    return configuration
        .table()
        .flatMap(table -> table.service(service))
        .flatMap(ServiceDefinition::engines)
        .map(EnginePool::cacheTokens)
        .orElse(0L);
  }

  private AccountTable accounts() {
    return configuration.table().map(ForwardingTable::accounts).orElse(AccountTable.NONE);
  }

  private QuotaTolerance quotaTolerance() {
    ForwardingSettings.Quotas terms = settings.quotas();
    double windowSeconds = terms.window().toMillis() / MILLISECONDS_PER_SECOND;
    return new QuotaTolerance(windowSeconds, terms.overage(), terms.slack());
  }

  private QuotaPolicy quotaPolicy() {
    return switch (settings.quotas().sharing()) {
      case HOLDERS -> quotas;
      case EQUAL_PARTS ->
          new EqualShareQuotaPolicy(quotaTolerance(), fleetSize, MonotonicClock::milliseconds);
    };
  }

  private void startPlanner(HttpObjectStore store, String id) {
    HttpClient client = RunnerClient.createHttpClient(vertx);
    closer.register(client::close);
    OrdersInTransit inTransit = new OrdersInTransit();
    lease =
        closer.register(
            new LeaseManager(
                vertx,
                store,
                PLANNER_LEASE,
                id,
                LEASE_DURATION,
                this::isEarlierProcessOfThisInstance,
                () -> peers.relays().representsDomain(),
                new PlannerHandover(inTransit)));
    planner =
        new ModelPlanner(
            vertx,
            client,
            dialect.runners(),
            lease,
            lease::invalidateGrant,
            id,
            runners,
            configuration,
            new DemandReplicaPolicy(),
            limits,
            permits,
            new LearnedWorkRates(rates),
            runnerStates,
            inTransit,
            plannerClient);
    plannerClient.connectLocalPlanner(planner);
    planner.start();
  }

  /** Two processes of one instance never run at the same time, as both listen on its addresses. */
  private boolean isEarlierProcessOfThisInstance(String holder) {
    String prefix = settings.instanceName() + "-";
    boolean sameInstance = holder.startsWith(prefix) && holder.indexOf('-', prefix.length()) < 0;
    return sameInstance && !holder.equals(peers.self().id());
  }

  private void startTimers() {
    PeriodicTasks tasks = new PeriodicTasks(vertx, LoadExchange.PERIOD_MILLISECONDS, delay);
    tasks.every(LoadExchange.PERIOD_MILLISECONDS, loadExchange::sendReports);
    tasks.every(EntryDirectory.PUBLISH_MILLISECONDS, directory::publishLoad);
    tasks.every(KnowledgeExchange.PERIOD_MILLISECONDS, room::publish);
    tasks.every(KnowledgeExchange.PERIOD_MILLISECONDS, knowledge::sendReports);
    tasks.every(LoadExchange.PERIOD_MILLISECONDS, this::refreshEstimates);
    tasks.every(RATES_REFRESH_MILLISECONDS, rates::refresh);
    tasks.every(PlannerClient.DEMAND_MILLISECONDS, now -> plannerClient.reportDemand());
    tasks.every(PlannerClient.NOTICE_MILLISECONDS, now -> plannerClient.announce());
    tasks.every(EXPIRY_CHECK_MILLISECONDS, runners::removeExpired);
    tasks.every(FleetSize.SAMPLE_INTERVAL_MILLISECONDS, fleetSize::sample);
    tasks.every(RequestQuarantine.EXCHANGE_MILLISECONDS, quarantine::exchange);
    tasks.every(RegionalQuotaPolicy.REFRESH_MILLISECONDS, quotas::refresh);
    tasks.every(CONNECTION_CHECK_MILLISECONDS, connections::sweep);
    tasks.start();
  }

  private void refreshEstimates(long nowMilliseconds) {
    estimates.instanceDelayed(delay.smoothedMilliseconds());
    estimates.refresh(nowMilliseconds);
  }

  /** Closes the peer connections as if the process had died; used to test the other instances. */
  public void closePeers() {
    peers.close();
  }

  /** Provides the planner with the rates that requests have shown. */
  private record LearnedWorkRates(LearnedRates rates) implements WorkRates {
    @Override
    public double millisecondsPerToken(String model) {
      return rates.observedMillisecondsPerToken(model).orElse(0);
    }

    @Override
    public double relativeSpeed(String runner) {
      return rates.relativeSpeed(runner);
    }
  }

  /** Tells the detector of crashes what the directory learns. */
  private record CrashedRunnerListener(CrashDetector crashes) implements RunnerDirectory.Listener {
    @Override
    public void runnerChanged(RunnerEntry entry, boolean newProcess) {
      if (newProcess) {
        crashes.replaced(entry.id(), entry.startTimeMilliseconds());
      }
    }

    @Override
    public void runnerGone(String id) {
      crashes.gone(id);
    }
  }

  /** Provides the runners of the directory with the regions of the settings. */
  private final class DirectoryRunners implements RunnerPermits.Runners {
    @Override
    public Optional<RunnerEntry> entry(String id) {
      return runners.entry(id);
    }

    @Override
    public Optional<String> region(RunnerEntry runner) {
      return Optional.ofNullable(settings.regions().get(runner.failureDomain()));
    }
  }

  /** Applies changed settings at run time; only the seeds can change. */
  public void reload(ForwardingSettings changed) {
    LOGGER.info("settings reloaded seeds={} before={}", changed.peers(), settings.peers());
    peers.seedsChanged(changed.peers());
  }

  /**
   * Completes open requests, then closes everything.
   *
   * @return whether every request was answered
   */
  public boolean shutDown() {
    final long startedAt = MonotonicClock.milliseconds();
    LOGGER.info("leaving begun open={}", ingress.open());
    final long end = startedAt + settings.terms().grace().toMillis() - GRACE_MARGIN_MILLISECONDS;
    stop.leave(end);
    peers.leave();
    context.runOnContext(
        run -> {
          quotas.transferToNextHolders();
          permits.stopGranting();
          planner.stop();
          lease.close();
          List.copyOf(exchanges).forEach(RequestExchange::refuseIfTooLate);
        });
    while (MonotonicClock.milliseconds() < end) {
      long elapsed = MonotonicClock.milliseconds() - startedAt;
      if (elapsed >= REFUSAL_DELAY_MILLISECONDS && !stop.isRefusing()) {
        stop.refuse();
        context.runOnContext(run -> List.copyOf(exchanges).forEach(RequestExchange::refuseUnsent));
      }
      if (elapsed >= MINIMUM_LEAVING_MILLISECONDS && isIdle()) {
        break;
      }
      try {
        Thread.sleep(SHUTDOWN_CHECK_MILLISECONDS);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    boolean complete = isIdle();
    answerOpenRequests();
    LOGGER.info("leaving ended complete={} open={}", complete, ingress.open());
    closer.close();
    return complete;
  }

  /** Returns whether every request has a response that is written to its last byte. */
  private boolean isIdle() {
    return ingress.open() == 0 && unwritten.count() == 0;
  }

  /** Answers the remaining requests, so that no connection closes without a response. */
  private void answerOpenRequests() {
    CompletableFuture<Void> answered = new CompletableFuture<>();
    context.runOnContext(
        run -> {
          List.copyOf(exchanges).forEach(RequestExchange::expire);
          vertx.setPeriodic(SHUTDOWN_CHECK_MILLISECONDS, fired -> completeIfWritten(answered));
        });
    try {
      answered.get(LAST_WRITES_MILLISECONDS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException exception) {
      LOGGER.warn("open requests were not answered before shutdown", exception);
    }
  }

  private void completeIfWritten(CompletableFuture<Void> answered) {
    if (unwritten.count() == 0) {
      answered.complete(null);
    }
  }
}
