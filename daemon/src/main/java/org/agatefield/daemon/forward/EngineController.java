package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.agatefield.daemon.forward.wire.OrderOutcome;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.daemon.forward.wire.RunnerOrder;
import org.agatefield.daemon.forward.wire.RunnerOrder.Action;
import org.agatefield.forwarding.LoadedModel;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.RunnerReport;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.placement.ReplicaMove;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Sends orders to one model runner, one at a time.
 *
 * <p>Orders for models and orders for adapters wait in two queues: the runner loads adapters while
 * it executes an order for a model, so that they pass a model's order once its outcome is known.
 * Every order states how many orders the runner has accepted before. An order whose response is
 * lost is sent again with the same count, so that at most one of the two takes effect, whenever
 * they arrive. Invariants: an order is sent only under a valid grant, and only if none of an
 * earlier grant may still arrive; an order of a move is sent only with the count that the move was
 * planned from, so that it takes effect on the planned state or not at all; an order is sent only
 * if the runner has just responded, so that no more than one can be held on the way to it; models
 * that an unanswered order may still load count as held. Confined to one event loop.
 */
final class EngineController {
  private static final Logger LOGGER = LogManager.getLogger(EngineController.class);
  // Reports can be some hundred milliseconds old.
  private static final long REPORT_LAG_MILLISECONDS = 350;
  private static final long POLL_MILLISECONDS = 250;
  private static final long IDLE_POLL_MILLISECONDS = 2_000;
  private static final long UNLOAD_RETRY_MILLISECONDS = 80; // Idle models are unloaded immediately.
  private static final long ADAPTER_LOAD_MILLISECONDS = 20; // The data sheets give 7 to 13 ms.
  private static final int MAXIMUM_TRIES = 8;
  private static final int ADAPTERS_IN_TRANSIT = 4; // the runner's limit
  private static final long BUSY_POLL_MILLISECONDS = 1_000;
  private static final long STORE_RETRY_MILLISECONDS = 50;
  private static final int SUCCESS = 200;
  // An order that is sent as the runner loses contact may be held for seconds.
  private static final long RECENT_CONTACT_MILLISECONDS = 100;

  private final Vertx vertx;
  private final RunnerClient runnerClient;
  private final RunnerDialect dialect;
  private final PlannerCallbacks planner;
  private RunnerEntry runner;
  private final Deque<EngineTask> tasks = new ArrayDeque<>();
  private final AdapterSlots adapters = new AdapterSlots();
  private final OutstandingOrders outstanding;
  private final OrdersInTransit inTransit;
  private Set<String> models = new HashSet<>();
  private Set<String> inHostMemory = Set.of();
  private Set<String> onDisk = Set.of();
  private Optional<EngineTask> current = Optional.empty();
  private final Deque<EngineTask> adapterTasks = new ArrayDeque<>();
  private Optional<EngineTask> currentAdapter = Optional.empty();
  private int adaptersInTransit;
  // The runner loads no adapters while it executes the current order for a model.
  private boolean refusesAdapters;
  private boolean tellsWork;
  private boolean hasWork;
  private long acceptedOrders = -1;
  private long lastOrderAt = Long.MIN_VALUE / 2;
  private long reportAt = Long.MIN_VALUE / 2;
  private boolean busy;
  private boolean reading;
  private boolean sending;
  private long respondedAt = Long.MIN_VALUE / 2;
  private boolean silent; // the last call had no response
  private boolean unloading;
  // The count of accepted orders in which the current move was planned, plus this planner's orders
  // that were accepted since. Unlike acceptedOrders, it is never read from a report.
  private long plannedCount = -1;
  private boolean loadingFromStore;

  /** Provides the planner's lease grant and receives load events. */
  interface PlannerCallbacks {
    /** Returns the grant under which orders may be sent now. */
    Optional<LeaseGrant> grant();

    /** Returns the identifier of this instance that orders carry. */
    String holder();

    /** Returns whether a runner limits the rate of requests. */
    boolean isLimited(RunnerEntry runner);

    /** Called when an order is sent to a runner. */
    void orderSent(RunnerEntry runner);

    /** Called with the response to an order or a report request. */
    void responded(RunnerEntry runner, RunnerClient.Response response);

    /** Called when a runner has finished loading a model. */
    void loaded(String runner, String model);

    /**
     * Called before a runner unloads a model, or an adapter that is written as {@code
     * model/adapter}.
     */
    void dropping(String runner, String model);

    /** Called with each report of a runner. */
    default void reported(RunnerEntry runner, RunnerReport report) {}

    /** Returns whether a load from the weight store may begin now, and counts it if so. */
    default boolean beginStoreLoad(RunnerEntry runner) {
      return true;
    }

    /** Called when a counted load did not begin. */
    default void storeLoadRefused(RunnerEntry runner) {}
  }

  /**
   * Creates the controller of a runner whose state is not known yet.
   *
   * @param outstanding loads that were ordered from earlier processes of the runner
   * @param inTransit orders to all runners that may still arrive
   */
  EngineController(
      Vertx vertx,
      HttpClient client,
      RunnerDialect dialect,
      PlannerCallbacks planner,
      OutstandingOrders outstanding,
      OrdersInTransit inTransit) {
    this.outstanding = outstanding;
    this.inTransit = inTransit;
    this.vertx = vertx;
    this.runnerClient = new RunnerClient(client, dialect);
    this.dialect = dialect;
    this.planner = planner;
  }

  void update(RunnerEntry entry, boolean newProcess, int slots) {
    final Optional<RunnerEntry> before = Optional.ofNullable(runner);
    runner = entry;
    adapters.setSlots(slots);
    if (newProcess) {
      abandonAll();
      acceptedOrders = -1;
      outstanding.runnerRestarted();
      adapters.clear();
      busy = false;
      entry.models().ifPresent(this::setModels);
    }
    inHostMemory = entry.inHostMemory();
    onDisk = entry.onDisk();
    boolean loadIsListed =
        current
            .filter(task -> loadsModel(task) && task.isAccepted() && entry.holds(task.model()))
            .filter(task -> before.filter(old -> !old.holds(task.model())).isPresent())
            .isPresent();
    if (loadIsListed) { // The entry is written at the end of a load, before a report is due.
      busy = false;
      lastOrderAt = MonotonicClock.milliseconds(); // Reports may be older than the entry.
      complete(current.get(), true);
    }
  }

  /** Sets whether the runner's reports of its work are used, so that they must be recent. */
  void setTellsWork(boolean tells) {
    tellsWork = tells;
  }

  RunnerEntry runner() {
    return runner;
  }

  /** Returns the models that the runner holds or is about to load. */
  Set<String> possiblyHeld() {
    Set<String> held = new HashSet<>(models);
    current.filter(task -> task.action() == Action.LOAD).ifPresent(task -> held.add(task.model()));
    tasks.stream().filter(task -> task.action() == Action.LOAD).forEach(t -> held.add(t.model()));
    return held;
  }

  /**
   * Returns the models that an order to an earlier process may still load; no order prevents that,
   * so that they take memory beside the models that the runner holds.
   */
  Set<String> possiblyLoadedLate() {
    return outstanding.models(MonotonicClock.milliseconds());
  }

  Set<String> inHostMemory() {
    return inHostMemory;
  }

  Set<String> onDisk() {
    return onDisk;
  }

  /** Returns the number of orders that the runner had accepted when its models were last known. */
  long acceptedOrders() {
    return acceptedOrders;
  }

  /** Returns whether a move can begin now. */
  boolean isReady() {
    return acceptedOrders >= 0 && !busy && current.isEmpty() && tasks.isEmpty() && !silent;
  }

  /** Returns whether a load from the weight store may be in progress. */
  boolean isLoadingFromStore() {
    return isLoading() && loadingFromStore;
  }

  /** Returns whether a load from the weight store is planned that has not been counted yet. */
  boolean awaitsStoreLoad() {
    return loadingFromStore
        && Stream.concat(current.stream(), tasks.stream())
            .anyMatch(task -> loadsModel(task) && !task.isAccepted() && !task.isOutcomeUnknown());
  }

  private boolean isLoading() {
    return current.filter(EngineController::loadsModel).isPresent();
  }

  private static boolean loadsModel(EngineTask task) {
    return task.action() == Action.LOAD && task.adapter().isEmpty();
  }

  void begin(ReplicaMove move) {
    loadingFromStore = move.fromStore();
    plannedCount = acceptedOrders;
    for (String model : move.unload()) {
      planner.dropping(runner.id(), model);
      tasks.add(new EngineTask(Action.UNLOAD, model, Optional.empty()));
    }
    tasks.add(new EngineTask(Action.LOAD, move.load(), Optional.empty()));
    proceed();
  }

  /** Requests the load of an adapter; completes with whether the adapter is present. */
  CompletableFuture<Boolean> ensureAdapter(String model, String adapter) {
    String key = model + '/' + adapter;
    long now = MonotonicClock.milliseconds();
    if (!models.contains(model) || isLeaving(model) || acceptedOrders < 0) {
      return CompletableFuture.completedFuture(false);
    }
    if (adapters.touch(key, now)) {
      return CompletableFuture.completedFuture(true);
    }
    Optional<EngineTask> pending =
        pendingAdapters().filter(task -> task.isLoadOf(model, adapter)).findFirst();
    if (pending.isPresent()) {
      return pending.get().done();
    }
    if (refusesAdapters || !ensureSlot(now)) {
      return CompletableFuture.completedFuture(false);
    }
    EngineTask task = new EngineTask(Action.LOAD, model, Optional.of(adapter));
    adapterTasks.add(task);
    proceed();
    return task.done();
  }

  /** Loads adapters of a model that the runner holds, as far as slots are free. */
  void preloadAdapters(String model, Iterable<String> names) {
    long now = MonotonicClock.milliseconds();
    for (String name : names) {
      boolean wanted = models.contains(model) && !adapters.holds(model + '/' + name);
      if (wanted && hasFreeSlot(now)) {
        ensureAdapter(model, name);
      }
    }
  }

  private boolean isLeaving(String model) {
    return Stream.concat(current.stream(), tasks.stream())
        .anyMatch(task -> task.action() == Action.UNLOAD && task.model().equals(model));
  }

  private Stream<EngineTask> pendingAdapters() {
    return Stream.concat(currentAdapter.stream(), adapterTasks.stream());
  }

  /**
   * Reads the runner's state if the last report is too old, and continues with the queued tasks.
   */
  void tick() {
    long now = MonotonicClock.milliseconds();
    boolean waitingForOrder =
        current.isPresent()
            || currentAdapter.isPresent()
            || busy
            || acceptedOrders < 0
            || silent
            || inTransit.awaitsCount(runner.id(), now);
    boolean frequent = waitingForOrder && !planner.isLimited(runner);
    long quiet =
        tellsWork && hasWork && !planner.isLimited(runner)
            ? BUSY_POLL_MILLISECONDS
            : IDLE_POLL_MILLISECONDS;
    long interval = frequent ? POLL_MILLISECONDS : quiet;
    if (!reading && now - reportAt >= interval) {
      readReport();
    }
    proceed();
  }

  void abandonAll() {
    current.ifPresent(task -> task.done().complete(false));
    current = Optional.empty();
    tasks.forEach(task -> task.done().complete(false));
    tasks.clear();
    List<EngineTask> abandoned = pendingAdapters().toList();
    currentAdapter = Optional.empty();
    adapterTasks.clear();
    abandoned.forEach(task -> task.done().complete(false));
  }

  private boolean hasFreeSlot(long now) {
    long pending = pendingAdapters().filter(task -> task.action() == Action.LOAD).count();
    return adapters.used() + outstanding.adapters(now) + pending < adapters.slots();
  }

  private boolean ensureSlot(long now) {
    if (hasFreeSlot(now)) {
      return true;
    }
    Optional<String> victim = adapters.evict(now);
    if (victim.isEmpty()) {
      return false;
    }
    String[] names = victim.get().split("/", 2);
    planner.dropping(runner.id(), victim.get());
    adapterTasks.add(new EngineTask(Action.UNLOAD, names[0], Optional.of(names[1])));
    return true;
  }

  private void proceed() {
    if (sending || currentAdapter.isPresent() || acceptedOrders < 0) {
      return;
    }
    if (current.isEmpty() && !busy) {
      refusesAdapters = false;
      if (!tasks.isEmpty()) {
        current = Optional.of(tasks.poll());
        send(current.get());
        return;
      }
    }
    boolean modelOrderOpen = current.filter(EngineTask::isOutcomeUnknown).isPresent();
    if (adapterTasks.isEmpty() || modelOrderOpen || adaptersInTransit >= ADAPTERS_IN_TRANSIT) {
      return;
    }
    EngineTask next = adapterTasks.poll();
    currentAdapter = Optional.of(next);
    if (models.contains(next.model())) {
      send(next);
    } else {
      complete(next, false); // The model was unloaded with its adapters.
    }
  }

  private void send(EngineTask task) {
    Optional<LeaseGrant> grant = planner.grant();
    if (grant.isEmpty()) {
      abandonAll();
      return;
    }
    if (!task.isForAdapter() && isPlanOutdated()) {
      LOGGER.info(
          "runner={} {} {} abandoned planned_count={} accepted_before={}",
          runner.id(),
          task.action(),
          task.model(),
          plannedCount,
          acceptedOrders);
      complete(task, false);
      return;
    }
    long now = MonotonicClock.milliseconds();
    if (inTransit.mayReceiveEarlierOrder(runner.id(), grant.get().fencingToken(), now)) {
      LOGGER.info(
          "runner={} {} {} abandoned token={} earlier_order=unanswered",
          runner.id(),
          task.action(),
          task.model(),
          grant.get().fencingToken());
      complete(task, false);
      return;
    }
    boolean adapterWithoutSlot =
        task.adapter().isPresent()
            && task.action() == Action.LOAD
            && adapters.used() + outstanding.adapters(MonotonicClock.milliseconds())
                >= adapters.slots();
    if (adapterWithoutSlot) {
      complete(task, false);
      return;
    }
    boolean fromStore = loadsModel(task) && loadingFromStore;
    if (fromStore && !planner.beginStoreLoad(runner)) {
      scheduleRetry(task, STORE_RETRY_MILLISECONDS);
      return;
    }
    if (!hasRecentContact(now)) {
      if (fromStore) {
        planner.storeLoadRefused(runner);
      }
      awaitContact(task);
      return;
    }
    if (!mayTryAgain(task)) {
      return;
    }
    final RunnerOrder order =
        new RunnerOrder(
            task.action(),
            task.model(),
            task.adapter(),
            planner.holder(),
            grant.get().fencingToken(),
            acceptedOrders);
    sending = true;
    task.setAwaitingContact(false);
    task.setOutcomeUnknown(true);
    lastOrderAt = MonotonicClock.milliseconds();
    final OptionalLong copy =
        task.action() == Action.LOAD
            ? OptionalLong.of(outstanding.sent(task.load(), lastOrderAt))
            : OptionalLong.empty();
    final String runnerId = runner.id();
    final long number =
        inTransit.sent(runnerId, order.fencingToken(), order.acceptedOrders(), lastOrderAt);
    planner.orderSent(runner);
    runnerClient
        .sendOrder(runner, dialect.encodeOrder(order))
        .whenComplete(
            (response, failure) -> {
              sending = false;
              if (failure == null) {
                responded();
                inTransit.answered(runnerId, number, respondedAt);
                planner.responded(runner, response);
              } else if (failure instanceof ConnectException) {
                silent = true;
                inTransit.notSent(runnerId, number, MonotonicClock.milliseconds());
              } else {
                silent = true;
                inTransit.notAnswered(runnerId, MonotonicClock.milliseconds());
              }
              // Reports requested before this response may be older than the order.
              lastOrderAt = MonotonicClock.milliseconds();
              OrderOutcome outcome =
                  failure == null ? dialect.orderOutcome(response.status()) : OrderOutcome.UNKNOWN;
              if (outcome != OrderOutcome.UNKNOWN) {
                copy.ifPresent(outstanding::answered);
                task.setOutcomeUnknown(false);
              }
              if (fromStore && !mayHaveBegun(outcome)) {
                planner.storeLoadRefused(runner);
              }
              if (failure instanceof ConnectException) {
                unreachable();
              }
              LOGGER.info(
                  "runner={} order={} model={} adapter={} accepted_before={} token={} try={}"
                      + " outcome={}",
                  runner.id(),
                  task.action(),
                  task.model(),
                  task.adapter().orElse(""),
                  order.acceptedOrders(),
                  order.fencingToken(),
                  task.tries(),
                  outcome);
              orderAnswered(task, outcome);
            });
  }

  /** Counts another try; abandons the task if there were too many. */
  private boolean mayTryAgain(EngineTask task) {
    task.countTry();
    if (task.tries() <= MAXIMUM_TRIES) {
      return true;
    }
    LOGGER.warn(
        "runner={} {} {} abandoned after too many attempts",
        runner.id(),
        task.action(),
        task.model());
    complete(task, false);
    return false;
  }

  private boolean hasRecentContact(long now) {
    boolean recent = now - respondedAt <= RECENT_CONTACT_MILLISECONDS;
    return !silent && (recent || planner.isLimited(runner));
  }

  /** Delays a task until the runner has responded to a report request. */
  private void awaitContact(EngineTask task) {
    task.setAwaitingContact(true);
    readReport();
  }

  private void contactTried(boolean responded) {
    List<EngineTask> awaiting =
        Stream.concat(current.stream(), currentAdapter.stream())
            .filter(EngineTask::isAwaitingContact)
            .toList();
    for (EngineTask task : awaiting) {
      task.setAwaitingContact(false);
      if (responded) {
        resend(task);
      } else if (mayTryAgain(task)) {
        scheduleRetry(task, UNLOAD_RETRY_MILLISECONDS);
      }
    }
  }

  /** Returns whether the runner's models may differ from those that the move was planned from. */
  private boolean isPlanOutdated() {
    return plannedCount != acceptedOrders;
  }

  private static boolean mayHaveBegun(OrderOutcome outcome) {
    return outcome == OrderOutcome.ACCEPTED || outcome == OrderOutcome.UNKNOWN;
  }

  /** Abandons all tasks until the runner responds again. */
  private void unreachable() {
    LOGGER.info("runner={} unreachable", runner.id());
    acceptedOrders = -1;
    abandonAll();
  }

  private void orderAnswered(EngineTask task, OrderOutcome outcome) {
    if (!isCurrent(task)) {
      proceed();
      return;
    }
    boolean afterUnload = task.action() == Action.LOAD && unloading;
    switch (outcome) {
      case ACCEPTED, FULFILLED -> accepted(task, outcome);
      case CONFLICT -> {
        if (task.isForAdapter() && (busy || current.isPresent())) {
          refusesAdapters = true;
          complete(task, false);
        } else if (afterUnload && task.tries() < MAXIMUM_TRIES / 2) {
          scheduleRetry(task, UNLOAD_RETRY_MILLISECONDS);
        } else {
          scheduleReport();
          proceed();
        }
      }
      case UNKNOWN -> scheduleRetry(task, UNLOAD_RETRY_MILLISECONDS);
      case INVALID -> {
        acceptedOrders = -1; // Read the report again before sending further orders.
        complete(task, false);
      }
      default -> complete(task, false);
    }
  }

  /** Sends a task again after a delay, unless that is scheduled already. */
  private void scheduleRetry(EngineTask task, long delayMilliseconds) {
    if (task.isRetryScheduled()) {
      return;
    }
    task.setRetryScheduled(true);
    vertx.setTimer(
        delayMilliseconds,
        fired -> {
          task.setRetryScheduled(false);
          resend(task);
        });
  }

  private void resend(EngineTask task) {
    if (!isCurrent(task) || task.isAccepted()) {
      return;
    }
    if (sending) {
      scheduleRetry(task, UNLOAD_RETRY_MILLISECONDS);
      return;
    }
    send(task);
  }

  private boolean isCurrent(EngineTask task) {
    return current.filter(each -> each == task).isPresent()
        || currentAdapter.filter(each -> each == task).isPresent();
  }

  /**
   * Ends a task for a model whose order had no effect. The runner holds other models than the plan
   * assumed, so that its state is read again before the next order.
   */
  private void hadNoEffect(EngineTask task) {
    acceptedOrders = -1;
    complete(task, task.action() == Action.LOAD);
  }

  private void accepted(EngineTask task, OrderOutcome outcome) {
    if (outcome == OrderOutcome.FULFILLED && !task.isForAdapter()) {
      hadNoEffect(task);
      return;
    }
    acceptedOrders++;
    plannedCount++;
    task.accept(acceptedOrders);
    if (task.isForAdapter()) {
      adapterOrderAccepted(task, outcome);
      return;
    }
    unloading = task.action() == Action.UNLOAD;
    if (task.action() == Action.UNLOAD) {
      models.remove(task.model());
      adapters.modelLeaves(task.model());
    } else {
      adapters.retainModels(models); // The runner accepts a load only after its unloads.
    }
    boolean moreToCome = unloading && !tasks.isEmpty();
    if (moreToCome) {
      // The runner refuses the next order until the unload is complete.
      complete(task, true);
      return;
    }
    busy = true;
    scheduleReport();
    proceed();
  }

  /** Allows the next order immediately; requests for the adapter wait until it is loaded. */
  private void adapterOrderAccepted(EngineTask task, OrderOutcome outcome) {
    String key = task.model() + '/' + task.adapter().orElseThrow();
    currentAdapter = Optional.empty();
    if (task.action() == Action.LOAD) {
      adapters.loaded(key, MonotonicClock.milliseconds());
      long wait = outcome == OrderOutcome.FULFILLED ? 1 : ADAPTER_LOAD_MILLISECONDS;
      adaptersInTransit++;
      vertx.setTimer(
          wait,
          fired -> {
            adaptersInTransit--;
            task.done().complete(true);
            proceed();
          });
    } else {
      if (outcome == OrderOutcome.FULFILLED) {
        adapters.removed(key);
      }
      task.done().complete(true);
    }
    proceed();
  }

  private void scheduleReport() {
    vertx.setTimer(REPORT_LAG_MILLISECONDS, fired -> readReport());
  }

  private void readReport() {
    if (reading) {
      return;
    }
    reading = true;
    long requestedAt = MonotonicClock.milliseconds();
    runnerClient
        .fetchReport(runner)
        .whenComplete(
            (response, failure) -> {
              reading = false;
              reportAt = MonotonicClock.milliseconds();
              if (failure == null) {
                planner.responded(runner, response);
              }
              boolean success = failure == null && response.status() == SUCCESS;
              if (success) {
                responded();
                inTransit.responded(runner.id(), reportAt);
                dialect
                    .decodeReport(response.body())
                    .ifPresent(report -> applyReport(report, requestedAt));
              } else {
                silent = true;
                inTransit.notAnswered(runner.id(), reportAt);
                LOGGER.debug("runner={} report not read", runner.id());
              }
              contactTried(success);
            });
  }

  private void responded() {
    respondedAt = MonotonicClock.milliseconds();
    silent = false;
  }

  private void applyReport(RunnerReport report, long requestedAt) {
    planner.reported(runner, report);
    if (isOfOtherProcess(report)) {
      otherProcessReported(report);
      return;
    }
    inTransit.acceptedOrdersReported(runner.id(), report.acceptedOrders());
    inHostMemory = report.inHostMemory();
    onDisk = report.onDisk();
    hasWork = report.work().filter(work -> work.running() + work.waiting() > 0).isPresent();
    if (completesLoad(report)) {
      busy = false;
      complete(current.get(), true);
      return;
    }
    boolean settled = requestedAt - lastOrderAt >= REPORT_LAG_MILLISECONDS;
    if (!settled || sending) {
      return;
    }
    if (acceptedOrders >= 0 && report.acceptedOrders() != acceptedOrders) {
      LOGGER.info(
          "runner={} accepted_expected={} accepted_reported={} models={} busy={} order={} model={}"
              + " queued={}",
          runner.id(),
          acceptedOrders,
          report.acceptedOrders(),
          report.models().stream().map(LoadedModel::name).toList(),
          report.busy(),
          current.map(task -> task.action().toString()).orElse("none"),
          current.map(EngineTask::model).orElse(""),
          tasks.size());
    }
    acceptedOrders = report.acceptedOrders();
    busy = report.busy();
    setModels(report.models());
    updateAdapters(report);
    currentAdapter.ifPresent(this::continueAdapter);
    if (current.isEmpty() || busy) {
      proceed();
      return;
    }
    if (sending) {
      return;
    }
    EngineTask task = current.get();
    if (isFulfilled(task)) {
      complete(task, true);
    } else if (task.isAccepted()) {
      complete(task, false); // The runner accepted the order but holds another state.
    } else {
      send(task);
    }
  }

  /** Returns whether a report is of another process of the runner than its entry. */
  private boolean isOfOtherProcess(RunnerReport report) {
    return report.startTimeMilliseconds() > 0
        && runner.startTimeMilliseconds() > 0
        && report.startTimeMilliseconds() != runner.startTimeMilliseconds();
  }

  /**
   * Abandons all tasks until the entry and a report are of the same process: the counts of two
   * processes say nothing of each other.
   */
  private void otherProcessReported(RunnerReport report) {
    if (acceptedOrders >= 0) {
      LOGGER.info(
          "runner={} report=other_process started={} entry_started={}",
          runner.id(),
          report.startTimeMilliseconds(),
          runner.startTimeMilliseconds());
    }
    acceptedOrders = -1;
    abandonAll();
  }

  /**
   * Returns whether a report shows that the current load is complete, even if orders for adapters
   * were sent after it was requested.
   */
  private boolean completesLoad(RunnerReport report) {
    return current
        .filter(task -> loadsModel(task) && task.isAccepted())
        .filter(task -> report.acceptedOrders() >= task.acceptedAsNumber())
        .filter(task -> report.acceptedOrders() <= acceptedOrders && !report.busy())
        .filter(task -> report.models().stream().anyMatch(m -> m.name().equals(task.model())))
        .isPresent();
  }

  private void continueAdapter(EngineTask task) {
    if (isFulfilled(task)) {
      complete(task, true);
    } else {
      send(task);
    }
  }

  private boolean isFulfilled(EngineTask task) {
    if (task.adapter().isPresent()) {
      boolean present = adapters.holds(task.model() + '/' + task.adapter().get());
      return present == (task.action() == Action.LOAD);
    }
    return models.contains(task.model()) == (task.action() == Action.LOAD);
  }

  private void complete(EngineTask task, boolean success) {
    if (task.isForAdapter()) {
      currentAdapter = Optional.empty();
    } else {
      current = Optional.empty();
    }
    if (success && task.action() == Action.LOAD) {
      if (task.adapter().isPresent()) {
        adapters.loaded(task.model() + '/' + task.adapter().get(), MonotonicClock.milliseconds());
      } else {
        models.add(task.model());
        planner.loaded(runner.id(), task.model());
      }
    }
    if (!success && task.adapter().isPresent() && task.action() == Action.UNLOAD) {
      adapters.retain(task.model() + '/' + task.adapter().get());
    }
    if (!success && task.adapter().isEmpty()) {
      tasks.forEach(each -> each.done().complete(false));
      tasks.clear();
    }
    task.done().complete(success);
    proceed();
  }

  private void setModels(Iterable<LoadedModel> held) {
    models = new HashSet<>();
    held.forEach(model -> models.add(model.name()));
  }

  private void updateAdapters(RunnerReport report) {
    Set<String> present = new HashSet<>(report.loadingAdapters());
    for (LoadedModel model : report.models()) {
      model.adapters().forEach(adapter -> present.add(model.name() + '/' + adapter));
    }
    adapters.reported(present);
  }
}
