package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agatefield.daemon.core.LeaseView;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.ServedModel;
import org.agatefield.forwarding.ServiceDefinition;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.model.ModelDemand;
import org.agatefield.model.WeightStoreLimits;
import org.agatefield.placement.DemandTracker;
import org.agatefield.placement.EngineView;
import org.agatefield.placement.LoadBudget;
import org.agatefield.placement.ModelProfile;
import org.agatefield.placement.ReplicaMove;
import org.agatefield.placement.ReplicaPolicy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Places models and adapters on runners while this instance holds the planner's lease.
 *
 * <p>Invariants: no order is sent without a valid grant; a new holder reads every runner's state
 * before its first order to it. Confined to one event loop.
 */
final class ModelPlanner implements RunnerDirectory.Listener {
  private static final Logger LOGGER = LogManager.getLogger(ModelPlanner.class);
  private static final long TICK_MILLISECONDS = 200; // a fraction of the shortest load
  private static final double CONCURRENT_LOADS_PER_RATE = 3; // as the sheets' weight stores allow
  private static final long STATE_LOG_MILLISECONDS = 1_000;
  private static final int RUNNERS_PER_SECOND_OF_LOG = 20; // large fleets are told less often
  private static final int ADAPTER_LOADS = 24; // the smaller of the sheets' weight stores
  private static final double MAXIMUM_ADAPTER_MEGABYTES = 64;

  private final Vertx vertx;
  private final HttpClient client;
  private final RunnerDialect dialect;
  private final LeaseView lease;
  private final Runnable distrustLease;
  private final SuspensionDetector standstill =
      new SuspensionDetector(MonotonicClock.milliseconds(), System.currentTimeMillis());
  private final String instance;
  private final RunnerDirectory runners;
  private final ConfigurationTracker configuration;
  private final ReplicaPolicy policy;
  private final Announcements announcements;
  private final DemandTracker demand = new DemandTracker();
  private final Map<String, EngineController> engines = new HashMap<>();
  private final OutstandingOrdersByRunner lateOrders = new OutstandingOrdersByRunner();
  private final Map<String, LoadBudget> budgets = new HashMap<>();
  private boolean holding;
  private long loggedAt;
  private long timer = -1;

  /** What the planner tells the other instances. */
  interface Announcements {
    /** A runner has a model now. */
    void loaded(String runner, String model);

    /** A runner is about to drop a model. */
    void dropping(String runner, String model);

    /** A runner begins to load a model. */
    void loading(String runner, String model, long expectedMilliseconds);

    /** This instance has become the planner. */
    void tookOver(long fencingToken);
  }

  ModelPlanner(
      Vertx vertx,
      HttpClient client,
      RunnerDialect dialect,
      LeaseView lease,
      Runnable distrustLease,
      String instance,
      RunnerDirectory runners,
      ConfigurationTracker configuration,
      ReplicaPolicy policy,
      Announcements announcements) {
    this.vertx = vertx;
    this.client = client;
    this.dialect = dialect;
    this.lease = lease;
    this.distrustLease = distrustLease;
    this.instance = instance;
    this.runners = runners;
    this.configuration = configuration;
    this.policy = policy;
    this.announcements = announcements;
    runners.listen(this);
  }

  void start() {
    timer = vertx.setPeriodic(TICK_MILLISECONDS, fired -> tick());
  }

  void stop() {
    vertx.cancelTimer(timer);
    release();
  }

  /** Returns the token of the grant, if this instance is the planner. */
  Optional<Long> fencingToken() {
    return lease.currentGrant().map(LeaseGrant::fencingToken);
  }

  void demandReported(String from, List<ModelDemand> demands) {
    demand.record(from, demands, MonotonicClock.milliseconds());
  }

  /** Has an adapter loaded, if this instance is the planner. */
  CompletableFuture<Boolean> ensureAdapter(String runner, String model, String adapter) {
    EngineController engine = holding ? engines.get(runner) : null;
    if (engine == null) {
      return CompletableFuture.completedFuture(false);
    }
    return engine.ensureAdapter(model, adapter);
  }

  @Override
  public void runnerChanged(RunnerEntry entry, boolean newLife) {
    if (holding) {
      take(entry, newLife);
    }
  }

  @Override
  public void runnerGone(String id) {
    EngineController gone = engines.remove(id);
    if (gone != null) {
      gone.abandonAll();
      lateOrders.gone(id);
    }
  }

  /** Returns the grant, unless this process stood still and another may hold the lease by now. */
  private Optional<LeaseGrant> trustedGrant() {
    boolean wasSuspended =
        standstill.wasSuspended(MonotonicClock.milliseconds(), System.currentTimeMillis());
    if (wasSuspended) {
      LOGGER.info("planner={} clocks=apart lease=distrusted", instance);
      distrustLease.run();
    }
    return lease.currentGrant();
  }

  private void tick() {
    Optional<LeaseGrant> grant = trustedGrant();
    if (grant.isEmpty()) {
      release();
      return;
    }
    if (!holding) {
      holding = true;
      LOGGER.info("planner={} token={}", instance, grant.get().fencingToken());
      announcements.tookOver(grant.get().fencingToken());
      List.copyOf(runners.all()).forEach(entry -> take(entry, true));
    }
    engines.values().forEach(EngineController::tick);
    lateOrders.forget(engines::containsKey, MonotonicClock.milliseconds());
    configuration.table().ifPresent(this::plan);
  }

  private void release() {
    if (!holding) {
      return;
    }
    holding = false;
    LOGGER.info("planner={} lease=ended", instance);
    engines.values().forEach(EngineController::abandonAll);
    engines.clear();
  }

  private void take(RunnerEntry entry, boolean newLife) {
    Optional<EnginePool> pool = pool(entry.service());
    if (pool.isEmpty() || entry.models().isEmpty()) {
      return;
    }
    EngineController known = engines.get(entry.id());
    OutstandingOrders late = lateOrders.of(entry.id());
    EngineController engine =
        known != null
            ? known
            : new EngineController(vertx, client, dialect, new GrantedOrders(), late);
    engines.put(entry.id(), engine);
    engine.update(entry, newLife || known == null, pool.get().adapterSlots());
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
    int loading = 0;
    for (RunnerEntry entry : List.copyOf(runners.all())) {
      if (!entry.service().equals(service)) {
        continue;
      }
      if (!engines.containsKey(entry.id())) {
        take(entry, true);
      }
      EngineController engine = engines.get(entry.id());
      if (engine != null) {
        loading += engine.isLoadingFromStore() ? 1 : 0;
        views.add(view(entry, engine, pool));
      }
    }
    long now = System.nanoTime();
    int concurrent =
        (int) Math.max(1, Math.floor(pool.loadsPerSecond() * CONCURRENT_LOADS_PER_RATE));
    LoadBudget budget =
        budgets
            .computeIfAbsent(service, ignored -> LoadBudget.startingAt(now))
            .refill(new WeightStoreLimits(pool.loadsPerSecond(), concurrent, ADAPTER_LOADS), now);
    int allowed = Math.min(budget.available(), Math.max(0, concurrent - loading));
    long clock = MonotonicClock.milliseconds();
    Map<String, DemandTracker.Demand> demands = demand.demands(clock);
    List<ReplicaMove> moves = policy.plan(views, sizes(pool), demands, allowed);
    logState(service, views, demands, allowed, clock);
    for (ReplicaMove move : moves) {
      if (move.fromStore()) {
        budget = budget.take();
      }
      LOGGER.info(
          "placement runner={} load={} unload={} from_store={} demand={}",
          move.runner(),
          move.load(),
          move.unload(),
          move.fromStore(),
          demands.get(move.load()));
      engines.get(move.runner()).begin(move);
      announcements.loading(move.runner(), move.load(), (long) move.loadMilliseconds());
    }
    budgets.put(service, budget);
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

  private EngineView view(RunnerEntry entry, EngineController engine, EnginePool pool) {
    double adapters = pool.adapterSlots() * largestAdapter(pool);
    return new EngineView(
        entry.id(),
        entry.failureDomain(),
        pool.weightsMegabytes(),
        adapters,
        engine.possiblyHeld(),
        engine.inHostMemory(),
        engine.onDisk(),
        engine.isReady() && !entry.draining());
  }

  private static double largestAdapter(EnginePool pool) {
    return pool.models().stream()
        .mapToDouble(ServedModel::adapterMegabytes)
        .max()
        .orElse(MAXIMUM_ADAPTER_MEGABYTES);
  }

  private static List<ModelProfile> sizes(EnginePool pool) {
    return pool.models().stream()
        .map(
            model ->
                new ModelProfile(
                    model.name(),
                    model.weightsMegabytes(),
                    model.storeLoadMilliseconds(),
                    model.diskLoadMilliseconds(),
                    model.memoryLoadMilliseconds()))
        .toList();
  }

  /** Lets engines send orders while the grant holds. */
  private final class GrantedOrders implements EngineController.Orders {
    // A call that is under way must arrive before the grant ends.
    private static final long CALL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

    @Override
    public Optional<LeaseGrant> grant() {
      return trustedGrant()
          .filter(grant -> grant.validUntilNanoseconds() - System.nanoTime() > CALL_NANOSECONDS);
    }

    @Override
    public String holder() {
      return instance;
    }

    @Override
    public void loaded(String runner, String model) {
      announcements.loaded(runner, model);
    }

    @Override
    public void dropping(String runner, String model) {
      announcements.dropping(runner, model);
    }
  }
}
