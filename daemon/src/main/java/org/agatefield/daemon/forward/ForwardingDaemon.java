package org.agatefield.daemon.forward;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
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
import org.agatefield.daemon.forward.wire.CallerDialect;
import org.agatefield.daemon.forward.wire.PlatformDialect;
import org.agatefield.daemon.leases.LeaseDuty;
import org.agatefield.forwarding.BeginInTime;
import org.agatefield.forwarding.EarliestBeginChoice;
import org.agatefield.forwarding.RunnerLoads;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Closer;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Instance;
import org.agatefield.model.InstanceState;
import org.agatefield.model.ModelDemand;
import org.agatefield.peer.PeerMessage;
import org.agatefield.placement.DemandReplicaPolicy;
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
 * Wires a forwarding daemon together and holds it until it ends.
 *
 * <p>{@link #start()} and {@link #shutDown()} are called once each, from outside the event loop to
 * which all state is confined.
 */
public final class ForwardingDaemon {
  private static final Logger LOGGER = LogManager.getLogger(ForwardingDaemon.class);
  private static final String PLANNER_LEASE = "planner";
  private static final Duration LEASE_DURATION = Duration.ofSeconds(4); // a takeover within five
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration STORE_POLL = Duration.ofSeconds(60); // the watch is checked itself
  private static final Duration LONGEST_STORE_DELAY = Duration.ofMillis(1_000);
  private static final int CONNECT_MILLISECONDS = 400; // several times the way between regions
  private static final int CONNECTIONS_PER_RUNNER = 400;
  private static final int CALLER_IDLE_SECONDS = 120; // beyond any idle time that callers use
  // The configuration's bound is not known when the listener opens; the usual one is a quarter.
  private static final int HEADER_BYTES = 65_536;
  private static final long DEMAND_MILLISECONDS = 250;
  private static final long NOTICE_MILLISECONDS = 500; // a fraction of a takeover
  private static final long LAPSE_CHECK_MILLISECONDS = 200;
  private static final long ADAPTER_ANSWER_MILLISECONDS = 1_200;
  private static final long PLANNER_SILENCE_MILLISECONDS = 4_000;
  private static final long LEAVING_MILLISECONDS = 1_500; // most callers have asked again
  private static final long SHUTDOWN_CHECK_MILLISECONDS = 50;
  private static final long SHORTEST_LEAVING_MILLISECONDS = 3_500;
  private static final long GRACE_MARGIN_MILLISECONDS = 500;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final Closer closer = new Closer();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ForwardingSettings settings;
  private final PlatformDialect dialect;
  private final Vertx vertx;
  private final Context context;
  private final RunnerLoads loads = new RunnerLoads();
  private final ModelPresence presence = new ModelPresence();
  private final DemandMeter demand = new DemandMeter();
  private final WaitingRequests waiting;
  private final Set<RequestExchange> exchanges = new HashSet<>();
  private final ConfigurationTracker configuration;
  private final RunnerDirectory runners;
  private final KnowledgeExchange knowledge;
  private final Map<String, KnowledgeRelay> knowledgeRelays = new HashMap<>();
  private ForwardingPeers peers;
  private LoadExchange loadExchange;
  private PlannerDuty planner;
  private LeaseDuty lease;
  private IngressServer ingress;
  private Optional<PeerMessage.PlannerNotice> plannerNotice = Optional.empty();
  private long plannerHeardAt;
  private volatile boolean leaving;
  private volatile boolean refusing;

  /** Creates a daemon; nothing is started yet. */
  public ForwardingDaemon(ForwardingSettings settings, PlatformDialect dialect) {
    this.settings = settings;
    this.dialect = dialect;
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1));
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().get());
    this.context = vertx.getOrCreateContext();
    this.waiting = new WaitingRequests(vertx);
    this.configuration = new ConfigurationTracker(dialect.knowledge());
    this.runners = new RunnerDirectory(dialect.knowledge());
    this.knowledge = new KnowledgeExchange(vertx, configuration, runners);
  }

  /**
   * Starts everything and returns once all addresses are listened on; closes all if that fails.
   *
   * @throws AgatefieldException if an address cannot be listened on
   */
  public void start() {
    CompletableFuture<Void> started = new CompletableFuture<>();
    context.runOnContext(
        run -> {
          try {
            startParts(started);
          } catch (RuntimeException exception) {
            started.completeExceptionally(exception);
          }
        });
    try {
      started.join();
    } catch (CompletionException exception) {
      closer.close(); // threads that were started would keep the process alive
      throw new AgatefieldException(
          ErrorKind.INTERNAL, "the daemon did not start", exception.getCause());
    }
    LOGGER.info(
        "started callers={} directory={} peers={} store={}",
        settings.listeners().callers(),
        settings.listeners().directory(),
        settings.listeners().peers(),
        settings.store());
  }

  private void startParts(CompletableFuture<Void> started) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
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
        closer.register(
            new ForwardingPeers(
                self, settings.peers(), context, new PeerListener(), metrics, random));
    loadExchange = new LoadExchange(peers, loads, settings.failureDomain());
    HttpObjectStore store =
        closer.register(
            new HttpObjectStore(vertx, settings.store(), STORE_TIMEOUT, dialect.store()));
    startWatches(store);
    startForwarding(random);
    startPlanner(store, id);
    knowledge.start(peers);
    startTimers(id);
    listen(started);
  }

  private void startWatches(HttpObjectStore store) {
    configuration.listen(table -> peers.raiseVersion(table.version()));
    ObjectSource source =
        new RelayedObjects(vertx, store, () -> peers.relays().sources(), peers::request);
    startWatch(source, ObjectKind.CONFIGURATION, configuration);
    startWatch(source, ObjectKind.RUNNER, runners);
  }

  private void startWatch(ObjectSource source, ObjectKind kind, InformerListener listener) {
    KnowledgeRelay relay =
        new KnowledgeRelay(vertx, peers.self().id(), MonotonicClock::milliseconds);
    knowledgeRelays.put(kind.plural(), relay);
    ObjectInformer informer =
        new ObjectInformer(vertx, source, kind, STORE_POLL, LONGEST_STORE_DELAY);
    closer.register(informer.listen(listener).listen(relay).start());
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
            loads,
            presence,
            new EarliestBeginChoice(random));
    ingress =
        new IngressServer(
            new ForwardingParts(
                vertx,
                client,
                dialect,
                new HeaderRules(dialect.callers().reservedHeaders()),
                configuration::table,
                selector,
                new BeginInTime(),
                loads,
                presence,
                this::ensureAdapter,
                new RetryBudgets(settings.terms(), () -> peers.alive().size()),
                demand,
                waiting,
                exchanges,
                new ForwardingMetrics(metrics),
                () -> leaving,
                () -> refusing));
    metrics.registerGauge("agatefield.forwarding.waiting", (Gauge<Integer>) waiting::size);
    metrics.registerGauge("agatefield.forwarding.open", (Gauge<Integer>) ingress::open);
    metrics.registerGauge("agatefield.configuration.version", (Gauge<Long>) configuration::version);
    metrics.registerGauge(
        "agatefield.runners.age-milliseconds", (Gauge<Long>) runners::ageMilliseconds);
  }

  private void startPlanner(HttpObjectStore store, String id) {
    HttpClient client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_1_1)
                .setConnectTimeout(CONNECT_MILLISECONDS)
                .setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(2));
    closer.register(client::close);
    lease =
        closer.register(
            new LeaseDuty(
                vertx,
                store,
                PLANNER_LEASE,
                id,
                LEASE_DURATION,
                this::isEarlierLifeOfThisInstance,
                () -> peers.relays().speaks()));
    planner =
        new PlannerDuty(
            vertx,
            client,
            dialect.runners(),
            lease,
            lease::distrust,
            id,
            runners,
            configuration,
            new DemandReplicaPolicy(),
            new PlannerNews(id));
    planner.start();
  }

  /** Two processes of one instance never live at once, as both listen on its addresses. */
  private boolean isEarlierLifeOfThisInstance(String holder) {
    String prefix = settings.instanceName() + "-";
    boolean sameInstance = holder.startsWith(prefix) && holder.indexOf('-', prefix.length()) < 0;
    return sameInstance && !holder.equals(peers.self().id());
  }

  private void startTimers(String id) {
    vertx.setPeriodic(DEMAND_MILLISECONDS, fired -> reportDemand(id));
    vertx.setPeriodic(LoadExchange.PERIOD_MILLISECONDS, fired -> loadExchange.tell());
    vertx.setPeriodic(NOTICE_MILLISECONDS, fired -> announcePlanner(id));
    vertx.setPeriodic(
        LAPSE_CHECK_MILLISECONDS, fired -> runners.dropLapsed(MonotonicClock.milliseconds()));
  }

  private void listen(CompletableFuture<Void> started) {
    ForwardingSettings.Listeners listeners = settings.listeners();
    List<CompletableFuture<?>> listening = new ArrayList<>();
    listening.add(listen(listeners.callers(), ingress::handle));
    listening.add(listen(listeners.readiness(), this::answerReadiness));
    listening.add(listen(listeners.directory(), this::answerDirectory));
    listeners
        .metrics()
        .ifPresent(address -> listening.add(listen(address, new MetricsServer(metrics))));
    CompletableFuture.allOf(listening.toArray(CompletableFuture[]::new))
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                started.completeExceptionally(failure);
              } else {
                started.complete(null);
              }
            });
  }

  private CompletableFuture<?> listen(
      Address address, io.vertx.core.Handler<HttpServerRequest> handler) {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHttp2ClearTextEnabled(false)
            .setHandle100ContinueAutomatically(true)
            .setIdleTimeout(CALLER_IDLE_SECONDS)
            .setMaxHeaderSize(HEADER_BYTES)
            .setMaxInitialLineLength(HEADER_BYTES)
            .setTcpNoDelay(true);
    return vertx
        .createHttpServer(options)
        .requestHandler(handler)
        .listen(address.port(), address.host())
        .toCompletionStage()
        .toCompletableFuture();
  }

  private void answerReadiness(HttpServerRequest request) {
    if (!request.path().equals(dialect.callers().readinessPath())) {
      request.response().setStatusCode(NOT_FOUND).end();
      return;
    }
    boolean ready = configuration.table().isPresent() && !leaving;
    request.response().setStatusCode(ready ? OK : UNAVAILABLE).end();
  }

  private void answerDirectory(HttpServerRequest request) {
    CallerDialect callers = dialect.callers();
    if (!request.path().equals(callers.directoryPath())) {
      request.response().setStatusCode(NOT_FOUND).end();
      return;
    }
    List<Address> addresses =
        EntryDirectory.addressesFor(callers.whereabouts(request.params()), peers.answering());
    request
        .response()
        .putHeader("Content-Type", "application/json")
        .end(callers.directoryAnswer(addresses, settings.terms().answerTimeToLive()));
  }

  private CompletableFuture<Boolean> ensureAdapter(String runner, String model, String adapter) {
    if (planner.fencingToken().isPresent()) {
      return planner.ensureAdapter(runner, model, adapter);
    }
    Optional<Instance> holder = plannerNotice.flatMap(notice -> peers.member(notice.instance()));
    if (holder.isEmpty()) {
      return CompletableFuture.completedFuture(false);
    }
    return peers
        .request(
            holder.get(),
            new PeerMessage.AdapterRequest(runner, model, adapter),
            ADAPTER_ANSWER_MILLISECONDS)
        .handle(
            (answer, failure) -> {
              if (failure != null) {
                LOGGER.info(
                    "adapter={}/{} runner={} planner={} failed=\"{}\"",
                    model,
                    adapter,
                    runner,
                    holder.get().id(),
                    failure.getMessage());
              }
              return answer instanceof PeerMessage.AdapterAnswer known && known.present();
            });
  }

  private void reportDemand(String id) {
    List<ModelDemand> demands = demand.take();
    if (planner.fencingToken().isPresent()) {
      planner.demandReported(id, demands);
      return;
    }
    if (!demands.isEmpty()) {
      plannerNotice
          .flatMap(notice -> peers.member(notice.instance()))
          .ifPresent(holder -> peers.send(holder, new PeerMessage.ModelDemandReport(id, demands)));
    }
  }

  private void announcePlanner(String id) {
    planner
        .fencingToken()
        .ifPresent(token -> peers.broadcast(new PeerMessage.PlannerNotice(id, token)));
    boolean plannerLeft =
        plannerNotice.isPresent()
            && peers
                .member(plannerNotice.get().instance())
                .filter(member -> member.state() == InstanceState.LIVE)
                .isEmpty();
    if (plannerLeft) {
      LOGGER.info("planner={} left=true", plannerNotice.get().instance());
      plannerNotice = Optional.empty();
      lease.refresh();
    }
    long silent = MonotonicClock.milliseconds() - plannerHeardAt;
    if (plannerNotice.isPresent() && silent > PLANNER_SILENCE_MILLISECONDS) {
      LOGGER.info("planner={} silent_ms={}", plannerNotice.get().instance(), silent);
      plannerNotice = Optional.empty();
    }
  }

  /** Stops talking to other instances, as a process does that dies; for tests of the others. */
  public void stopPeers() {
    peers.close();
  }

  /** Takes settings that changed while the daemon runs; only the seeds can change. */
  public void reload(ForwardingSettings changed) {
    LOGGER.info("settings reloaded seeds={} before={}", changed.peers(), settings.peers());
    peers.seedsChanged(changed.peers());
  }

  /**
   * Finishes what runs, then closes everything.
   *
   * @return whether every request was answered
   */
  public boolean shutDown() {
    final long begun = MonotonicClock.milliseconds();
    LOGGER.info("leaving begun open={}", ingress.open());
    leaving = true;
    peers.leave();
    context.runOnContext(
        run -> {
          planner.stop();
          lease.close();
        });
    long end = begun + settings.terms().grace().toMillis() - GRACE_MARGIN_MILLISECONDS;
    while (MonotonicClock.milliseconds() < end) {
      long elapsed = MonotonicClock.milliseconds() - begun;
      if (elapsed >= LEAVING_MILLISECONDS && !refusing) {
        refusing = true;
        context.runOnContext(run -> List.copyOf(exchanges).forEach(RequestExchange::refuseUnsent));
      }
      if (elapsed >= SHORTEST_LEAVING_MILLISECONDS && ingress.open() == 0) {
        break;
      }
      try {
        Thread.sleep(SHUTDOWN_CHECK_MILLISECONDS);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    boolean complete = ingress.open() == 0;
    answerTheRest();
    LOGGER.info("leaving ended complete={} open={}", complete, ingress.open());
    closer.close();
    return complete;
  }

  /** Answers what is still open, so that no connection closes without an answer. */
  private void answerTheRest() {
    CompletableFuture<Void> answered = new CompletableFuture<>();
    context.runOnContext(
        run -> {
          List.copyOf(exchanges).forEach(RequestExchange::giveUp);
          vertx.setTimer(SHUTDOWN_CHECK_MILLISECONDS, fired -> answered.complete(null));
        });
    try {
      answered.get(GRACE_MARGIN_MILLISECONDS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException exception) {
      LOGGER.warn("open requests were not answered at the end", exception);
    }
  }

  /** Takes what peers say; called on the event loop. */
  private final class PeerListener implements ForwardingPeers.Listener {
    @Override
    public void configurationHeard(Instance holder, long version) {
      knowledge.heard(holder, version);
    }

    @Override
    public void received(PeerMessage message) {
      long now = MonotonicClock.milliseconds();
      if (message instanceof PeerMessage.RunnerLoadReport report) {
        loadExchange.heard(report);
      } else if (message instanceof PeerMessage.ModelDemandReport report) {
        planner.demandReported(report.instance(), report.demands());
      } else if (message instanceof PeerMessage.PlannerNotice notice) {
        heardPlanner(notice, now);
      } else if (message instanceof PeerMessage.ModelNotice notice) {
        heardModel(notice, now);
      }
    }

    private void heardModel(PeerMessage.ModelNotice notice, long now) {
      switch (notice.change()) {
        case LOADED -> {
          presence.announceModel(notice.runner(), notice.model());
          waiting.wake();
        }
        case DROPPING -> presence.withdrawModel(notice.runner(), notice.model(), now);
        case LOADING ->
            presence.expectModel(
                notice.runner(), notice.model(), now + notice.expectedMilliseconds());
        default -> throw new IllegalStateException("unknown change " + notice.change());
      }
    }

    private void heardPlanner(PeerMessage.PlannerNotice notice, long now) {
      boolean newer =
          plannerNotice.isEmpty() || notice.fencingToken() >= plannerNotice.get().fencingToken();
      if (!newer) {
        return;
      }
      if (plannerNotice.isEmpty() || !plannerNotice.get().equals(notice)) {
        LOGGER.info("planner={} token={}", notice.instance(), notice.fencingToken());
      }
      plannerNotice = Optional.of(notice);
      plannerHeardAt = now;
    }

    @Override
    public CompletableFuture<PeerMessage> requested(PeerMessage request) {
      if (request instanceof PeerMessage.SnapshotRequest asked) {
        return CompletableFuture.completedFuture(knowledge.answer(asked));
      }
      if (request instanceof PeerMessage.ObjectsRequest asked
          && knowledgeRelays.containsKey(asked.kind())) {
        return knowledgeRelays.get(asked.kind()).answer(asked);
      }
      if (request instanceof PeerMessage.AdapterRequest asked) {
        return planner
            .ensureAdapter(asked.runner(), asked.model(), asked.adapter())
            .thenApply(PeerMessage.AdapterAnswer::new);
      }
      return CompletableFuture.failedFuture(
          new AgatefieldException(ErrorKind.INTERNAL, "the request has no answer"));
    }
  }

  /** Tells the other instances what the planner did. */
  private final class PlannerNews implements PlannerDuty.Announcements {
    private final String id;

    PlannerNews(String id) {
      this.id = id;
    }

    @Override
    public void loaded(String runner, String model) {
      presence.announceModel(runner, model);
      peers.broadcast(
          new PeerMessage.ModelNotice(runner, model, PeerMessage.ModelChange.LOADED, 0));
      waiting.wake();
    }

    @Override
    public void dropping(String runner, String model) {
      presence.withdrawModel(runner, model, MonotonicClock.milliseconds());
      peers.broadcast(
          new PeerMessage.ModelNotice(runner, model, PeerMessage.ModelChange.DROPPING, 0));
    }

    @Override
    public void loading(String runner, String model, long expectedMilliseconds) {
      presence.expectModel(runner, model, MonotonicClock.milliseconds() + expectedMilliseconds);
      peers.broadcast(
          new PeerMessage.ModelNotice(
              runner, model, PeerMessage.ModelChange.LOADING, expectedMilliseconds));
    }

    @Override
    public void tookOver(long fencingToken) {
      peers.broadcast(new PeerMessage.PlannerNotice(id, fencingToken));
    }
  }
}
