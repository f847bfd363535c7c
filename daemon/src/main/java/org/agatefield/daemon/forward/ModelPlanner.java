package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.agatefield.daemon.core.LeaseView;
import org.agatefield.daemon.forward.wire.OrderOutcome;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.RunnerReport;
import org.agatefield.forwarding.ServedModel;
import org.agatefield.forwarding.ServiceDefinition;
import org.agatefield.knowledge.KnowledgeTable;
import org.agatefield.knowledge.RunnerState;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.model.ModelDemand;
import org.agatefield.model.WeightStoreLimits;
import org.agatefield.placement.AdapterUse;
import org.agatefield.placement.DemandTracker;
import org.agatefield.placement.EngineView;
import org.agatefield.placement.LimitedReplicas;
import org.agatefield.placement.LoadBudget;
import org.agatefield.placement.ModelProfile;
import org.agatefield.placement.ReplicaMove;
import org.agatefield.placement.ReplicaPolicy;
import org.agatefield.placement.WorkEstimates;
import org.agatefield.placement.WorkRates;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Places models and adapters on runners while this instance holds the planner lease.
 *
 * <p>Invariants: no order is sent without a valid lease grant; a new lease holder reads each
 * runner's state before sending its first order to it; a runner that may still receive an order of
 * an earlier grant, of this instance or another, gets none of a later one. Confined to one event
 * loop.
 */
final class ModelPlanner implements RunnerDirectory.Listener {
  private static final Logger LOGGER = LogManager.getLogger(ModelPlanner.class);
  private static final long TICK_MILLISECONDS = 200; // A fraction of the shortest load time.
  // Loads that may begin at once after a pause. The store allows a few beyond its rate; the others
  // cover orders that reach their runners later than they were counted.
  private static final int STORE_LOAD_BURST = 3;
  // Ratio of concurrent loads to loads per second of the weight stores in the data sheets.
  private static final double CONCURRENT_LOADS_PER_RATE = 3;
  private static final long STATE_LOG_MILLISECONDS = 1_000;
  // A load takes two orders, which count against the limit like requests.
  private static final double MINIMUM_LIMIT_FOR_LOADS_PER_SECOND = 0.5;
  private static final int RUNNERS_PER_SECOND_OF_LOG = 20; // Large fleets are logged less often.
  // Limit of the smaller weight store according to its data sheet.
  private static final int CONCURRENT_ADAPTER_LOADS = 24;
  private static final double MAXIMUM_ADAPTER_MEGABYTES = 64;

  private final Vertx vertx;
  private final HttpClient client;
  private final RunnerDialect dialect;
  private final LeaseView lease;
  private final Runnable invalidateLease;
  private final SuspensionDetector suspension =
      new SuspensionDetector(MonotonicClock.milliseconds(), System.currentTimeMillis());
  private final String instance;
  private final RunnerDirectory runners;
  private final ConfigurationTracker configuration;
  private final ReplicaPolicy policy;
  private final RunnerLimits limits;
  private final RunnerPermits permits;
  private final WorkRates rates;
  private final KnowledgeTable<RunnerState> runnerStates;
  private final Announcements announcements;
  private final AdapterUse adapterUse = new AdapterUse();
  private final DemandTracker demand = new DemandTracker();
  private final Map<String, EngineController> engines = new HashMap<>();
  private final OutstandingOrdersByRunner outstandingOrders = new OutstandingOrdersByRunner();
  private final OrdersInTransit inTransit;
  private final Map<String, LoadBudget> budgets = new HashMap<>();
  private boolean active;
  private long loggedAt;
  private long timer = -1;

  /** Notifies the other instances of planner events. */
  interface Announcements {
    /** Announces that a runner has finished loading a model. */
    void loaded(String runner, String model);

    /** Announces that a runner is about to unload a model. */
    void dropping(String runner, String model);

    /** Announces that a runner has started to load a model. */
    void loading(String runner, String model, long expectedMilliseconds);

    /** Announces that this instance has become the planner. */
    void tookOver(long fencingToken);
  }

  ModelPlanner(
      Vertx vertx,
      HttpClient client,
      RunnerDialect dialect,
      LeaseView lease,
      Runnable invalidateLease,
      String instance,
      RunnerDirectory runners,
      ConfigurationTracker configuration,
      ReplicaPolicy policy,
      RunnerLimits limits,
      RunnerPermits permits,
      WorkRates rates,
      KnowledgeTable<RunnerState> runnerStates,
      OrdersInTransit inTransit,
      Announcements announcements) {
    this.vertx = vertx;
    this.client = client;
    this.dialect = dialect;
    this.lease = lease;
    this.invalidateLease = invalidateLease;
    this.instance = instance;
    this.runners = runners;
    this.configuration = configuration;
    this.policy = policy;
    this.limits = limits;
    this.permits = permits;
    this.rates = rates;
    this.runnerStates = runnerStates;
    this.inTransit = inTransit;
    this.announcements = announcements;
    runners.listen(this);
  }

  void start() {
    timer = vertx.setPeriodic(TICK_MILLISECONDS, fired -> tick());
  }

  void stop() {
    vertx.cancelTimer(timer);
    deactivate();
  }

  /** Returns the fencing token of the lease grant if this instance is the planner. */
  Optional<Long> fencingToken() {
    return lease.currentGrant().map(LeaseGrant::fencingToken);
  }

  /**
   * Records an instance's demand for the models of the configuration. Clients can name any others.
   */
  void demandReported(String from, List<ModelDemand> demands) {
    demand.record(
        from, demands.stream().filter(this::isServed).toList(), MonotonicClock.milliseconds());
  }

  private boolean isServed(ModelDemand reported) {
    return configuration
        .table()
        .filter(table -> table.hasModel(reported.service(), reported.model()))
        .isPresent();
  }

  /**
   * Requests the load of an adapter if this instance is the planner; otherwise completes with
   * false.
   */
  CompletableFuture<Boolean> ensureAdapter(String runner, String model, String adapter) {
    adapterUse.used(model, adapter, MonotonicClock.milliseconds());
    EngineController engine = active ? engines.get(runner) : null;
    if (engine == null || mayReceiveUnknownOrder(runner)) {
      return CompletableFuture.completedFuture(false);
    }
    return engine.ensureAdapter(model, adapter);
  }

  @Override
  public void runnerChanged(RunnerEntry entry, boolean newProcess) {
    if (active) {
      attach(entry, newProcess);
    }
  }

  @Override
  public void runnerGone(String id) {
    EngineController removed = engines.remove(id);
    if (removed != null) {
      removed.abandonAll();
      outstandingOrders.runnerRemoved(id);
    }
  }

  /**
   * Returns the lease grant. Invalidates it first if this process was suspended, since another
   * instance may hold the lease by now.
   */
  private Optional<LeaseGrant> verifiedGrant() {
    boolean wasSuspended =
        suspension.wasSuspended(MonotonicClock.milliseconds(), System.currentTimeMillis());
    if (wasSuspended) {
      LOGGER.info("planner={} clocks=apart lease=distrusted", instance);
      invalidateLease.run();
    }
    return lease.currentGrant();
  }

  private void tick() {
    Optional<LeaseGrant> grant = verifiedGrant();
    if (grant.isEmpty()) {
      deactivate();
      return;
    }
    if (!active) {
      active = true;
      if (!grant.get().isFirst()) {
        outstandingOrders.tookOver(MonotonicClock.milliseconds());
      }
      long now = MonotonicClock.milliseconds();
      inTransit.planningBegins(now);
      LOGGER.info(
          "planner={} token={} unanswered={}",
          instance,
          grant.get().fencingToken(),
          inTransit.unanswered(now));
      announcements.tookOver(grant.get().fencingToken());
      List.copyOf(runners.all()).forEach(entry -> attach(entry, true));
    }
    engines.values().forEach(EngineController::tick);
    outstandingOrders.forget(engines::containsKey, MonotonicClock.milliseconds());
    configuration.table().ifPresent(this::plan);
  }

  private boolean mayReceiveUnknownOrder(String runner) {
    long now = MonotonicClock.milliseconds();
    return outstandingOrders.mayReceiveUnknownOrder(runners.restartedAt(runner), now)
        || fencingToken()
            .filter(token -> inTransit.mayReceiveEarlierOrder(runner, token, now))
            .isPresent();
  }

  private void deactivate() {
    if (!active) {
      return;
    }
    active = false;
    LOGGER.info(
        "planner={} lease=ended unanswered={}",
        instance,
        inTransit.unanswered(MonotonicClock.milliseconds()));
    engines.values().forEach(EngineController::abandonAll);
    engines.clear();
  }

  private void attach(RunnerEntry entry, boolean newProcess) {
    Optional<EnginePool> pool = pool(entry.service());
    if (pool.isEmpty() || entry.models().isEmpty()) {
      return;
    }
    EngineController existing = engines.get(entry.id());
    OutstandingOrders outstanding = outstandingOrders.of(entry.id());
    EngineController engine =
        existing != null
            ? existing
            : new EngineController(
                vertx, client, dialect, new GrantedOrders(), outstanding, inTransit);
    engines.put(entry.id(), engine);
    engine.update(entry, newProcess || existing == null, pool.get().adapterSlots());
    engine.setTellsWork(pool.get().cacheTokens() > 0);
  }

  private Optional<EnginePool> pool(String service) {
    return configuration
        .table()
        .flatMap(table -> table.service(service))
        .flatMap(ServiceDefinition::engines);
  }

  private void plan(ForwardingTable table) {
    for (ServiceDefinition service : table.services()) {
      service.engines().ifPresent(pool -> plan(service.name(), pool));
    }
  }

  private void plan(String service, EnginePool pool) {
    List<EngineView> views = new ArrayList<>();
    long nowMilliseconds = MonotonicClock.milliseconds();
    Map<String, DemandTracker.Demand> demands = demand.demands(nowMilliseconds);
    WorkEstimates estimates = estimates(pool);
    int loading = 0;
    int awaiting = 0;
    for (RunnerEntry entry : List.copyOf(runners.all())) {
      if (!entry.service().equals(service)) {
        continue;
      }
      if (!engines.containsKey(entry.id())) {
        attach(entry, true);
      }
      EngineController engine = engines.get(entry.id());
      if (engine != null) {
        loading += engine.isLoadingFromStore() ? 1 : 0;
        awaiting += engine.awaitsStoreLoad() ? 1 : 0;
        views.add(view(entry, engine, pool, demands, estimates));
      }
    }
    int concurrent =
        (int) Math.max(1, Math.floor(pool.loadsPerSecond() * CONCURRENT_LOADS_PER_RATE));
    int available = budget(service, pool).available() - awaiting;
    int allowed = Math.max(0, Math.min(available, concurrent - loading));
    List<ModelProfile> profiles = profiles(pool, estimates);
    List<ReplicaMove> moves = policy.plan(views, profiles, demands, allowed);
    logState(service, views, demands, allowed, nowMilliseconds);
    for (ReplicaMove move : moves) {
      EngineController engine = engines.get(move.runner());
      if (move.unload().stream().anyMatch(engine.possiblyLoadedLate()::contains)) {
        LOGGER.debug("placement runner={} unload={} late=true", move.runner(), move.unload());
        continue; // A late order would load the model again beside the new one.
      }
      LOGGER.info(
          "placement runner={} accepted_before={} held={} speed={} load={} engines={} unload={}"
              + " from_store={} demand={}",
          move.runner(),
          engine.acceptedOrders(),
          engine.possiblyHeld(),
          estimates.speed(move.runner()),
          move.load(),
          offeredLoad(move.load(), profiles, demands),
          move.unload(),
          move.fromStore(),
          demands.get(move.load()));
      engine.begin(move);
      announcements.loading(move.runner(), move.load(), (long) move.loadMilliseconds());
    }
  }

  /** Returns the load of a model in engines of speed 1, for the log. */
  private static String offeredLoad(
      String model, List<ModelProfile> profiles, Map<String, DemandTracker.Demand> demands) {
    return profiles.stream()
        .filter(profile -> profile.name().equals(model))
        .map(
            profile ->
                profile.work().engines(demands.getOrDefault(model, DemandTracker.Demand.NONE)))
        .map(load -> String.format(Locale.ROOT, "%.2f", load))
        .findFirst()
        .orElse("");
  }

  private LoadBudget budget(String service, EnginePool pool) {
    long now = System.nanoTime();
    LoadBudget budget =
        budgets
            .computeIfAbsent(service, ignored -> LoadBudget.startingAt(now))
            .refill(
                new WeightStoreLimits(
                    pool.loadsPerSecond(), STORE_LOAD_BURST, CONCURRENT_ADAPTER_LOADS),
                now);
    budgets.put(service, budget);
    return budget;
  }

  private WorkEstimates estimates(EnginePool pool) {
    return new WorkEstimates(
        rates,
        pool.models().stream()
            .collect(Collectors.toMap(ServedModel::name, ServedModel::weightsMegabytes)));
  }

  private void logState(
      String service,
      List<EngineView> views,
      Map<String, DemandTracker.Demand> demands,
      int storeLoads,
      long now) {
    long interval = STATE_LOG_MILLISECONDS * (1 + views.size() / RUNNERS_PER_SECOND_OF_LOG);
    if (now - loggedAt < interval) {
      return;
    }
    loggedAt = now;
    StringBuilder models = new StringBuilder();
    demands.forEach(
        (model, each) ->
            models.append(
                String.format(
                    Locale.ROOT,
                    " %s=%.0f/s,waiting:%d,running:%d",
                    model,
                    each.tokensPerSecond(),
                    each.waiting(),
                    each.running())));
    StringBuilder runnerStates = new StringBuilder();
    views.forEach(
        view ->
            runnerStates
                .append(' ')
                .append(view.id())
                .append('=')
                .append(String.join("+", view.held()))
                .append(view.acceptsOrders() ? "" : ",busy"));
    LOGGER.info(
        "placement_state service={} store_loads={} tokens{} runners{}",
        service,
        storeLoads,
        models,
        runnerStates);
  }

  private EngineView view(
      RunnerEntry entry,
      EngineController engine,
      EnginePool pool,
      Map<String, DemandTracker.Demand> demands,
      WorkEstimates estimates) {
    double reserved = pool.adapterSlots() * largestAdapter(pool) + lateMegabytes(engine, pool);
    OptionalDouble limit = limits.requestsPerSecond(entry);
    Set<String> held = engine.possiblyHeld();
    Set<String> counted = held;
    if (limit.isPresent()) {
      counted =
          LimitedReplicas.countedModels(
              held, modelsOfUnlimitedRunners(entry.service()), limit.getAsDouble(), demands);
    }
    return new EngineView(
        entry.id(),
        entry.failureDomain(),
        pool.weightsMegabytes(),
        reserved,
        held,
        counted,
        limit,
        engine.inHostMemory(),
        engine.onDisk(),
        engine.isReady()
            && !entry.draining()
            && !mayReceiveUnknownOrder(entry.id())
            && limit.orElse(Double.MAX_VALUE) >= MINIMUM_LIMIT_FOR_LOADS_PER_SECOND,
        estimates.speed(entry.id()));
  }

  /** Returns the memory that late orders to an earlier process of the runner may take. */
  private static double lateMegabytes(EngineController engine, EnginePool pool) {
    Set<String> held = engine.possiblyHeld();
    Set<String> late = engine.possiblyLoadedLate();
    return pool.models().stream()
        .filter(model -> late.contains(model.name()) && !held.contains(model.name()))
        .mapToDouble(ServedModel::weightsMegabytes)
        .sum();
  }

  private Set<String> modelsOfUnlimitedRunners(String service) {
    return engines.values().stream()
        .filter(engine -> engine.runner().service().equals(service))
        .filter(engine -> limits.requestsPerSecond(engine.runner()).isEmpty())
        .flatMap(engine -> engine.possiblyHeld().stream())
        .collect(Collectors.toSet());
  }

  private static double largestAdapter(EnginePool pool) {
    return pool.models().stream()
        .mapToDouble(ServedModel::adapterMegabytes)
        .max()
        .orElse(MAXIMUM_ADAPTER_MEGABYTES);
  }

  private static List<ModelProfile> profiles(EnginePool pool, WorkEstimates estimates) {
    return pool.models().stream()
        .map(
            model ->
                new ModelProfile(
                    model.name(),
                    model.weightsMegabytes(),
                    model.storeLoadMilliseconds(),
                    model.diskLoadMilliseconds(),
                    model.memoryLoadMilliseconds(),
                    estimates.of(model.name(), model.weightsMegabytes())))
        .toList();
  }

  /** Allows engine controllers to send orders while the grant is valid. */
  private final class GrantedOrders implements EngineController.PlannerCallbacks {
    // A call in flight must arrive before the grant expires.
    private static final long CALL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

    @Override
    public Optional<LeaseGrant> grant() {
      return verifiedGrant()
          .filter(grant -> grant.validUntilNanoseconds() - System.nanoTime() > CALL_NANOSECONDS);
    }

    @Override
    public String holder() {
      return instance;
    }

    @Override
    public boolean isLimited(RunnerEntry runner) {
      return limits.requestsPerSecond(runner).isPresent();
    }

    @Override
    public void orderSent(RunnerEntry runner) {
      permits.sentWithoutPermit(runner);
    }

    @Override
    public void responded(RunnerEntry runner, RunnerClient.Response response) {
      if (dialect.orderOutcome(response.status()) != OrderOutcome.INVALID) {
        limits.callAnswered(runner, dialect.rateLimit(response.headers()));
      }
    }

    @Override
    public void loaded(String runner, String model) {
      announcements.loaded(runner, model);
      EngineController engine = engines.get(runner);
      if (engine != null) {
        engine.preloadAdapters(model, adapterUse.mostUsed(model, MonotonicClock.milliseconds()));
      }
    }

    @Override
    public void reported(RunnerEntry runner, RunnerReport report) {
      report
          .work()
          .ifPresent(
              work ->
                  runnerStates.observe(
                      runner.id(),
                      new RunnerState(
                          report.startTimeMilliseconds(),
                          work.running(),
                          work.waiting(),
                          work.usedTokens(),
                          work.totalTokens()),
                      MonotonicClock.milliseconds()));
    }

    @Override
    public boolean beginStoreLoad(RunnerEntry runner) {
      Optional<EnginePool> pool = pool(runner.service());
      if (pool.isEmpty() || budget(runner.service(), pool.get()).available() < 1) {
        return false;
      }
      budgets.computeIfPresent(runner.service(), (service, budget) -> budget.take());
      return true;
    }

    @Override
    public void storeLoadRefused(RunnerEntry runner) {
      budgets.computeIfPresent(runner.service(), (service, budget) -> budget.giveBack());
    }

    @Override
    public void dropping(String runner, String model) {
      announcements.dropping(runner, model);
    }
  }
}
