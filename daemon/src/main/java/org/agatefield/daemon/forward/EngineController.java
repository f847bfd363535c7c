package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
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
 * Gives one model runner its orders, one at a time.
 *
 * <p>Every order names how many orders the runner has accepted before. An order whose answer is
 * lost is sent again with the same count, so that of the two at most one takes effect, whenever
 * they arrive. Invariants: an order is sent only under a valid grant; what an unanswered order may
 * still load counts as held. Confined to one event loop.
 */
final class EngineController {
  private static final Logger LOGGER = LogManager.getLogger(EngineController.class);
  private static final long REPORT_LAG_MILLISECONDS = 350; // reports are some hundred ms old
  private static final long POLL_MILLISECONDS = 250;
  private static final long IDLE_POLL_MILLISECONDS = 2_000;
  private static final long UNLOAD_RETRY_MILLISECONDS = 80; // an idle model is dropped at once
  private static final long ADAPTER_LOAD_MILLISECONDS = 20; // the sheets say 7 to 13
  private static final int MAXIMUM_TRIES = 8;
  private static final int SUCCESS = 200;

  private final Vertx vertx;
  private final RunnerClient calls;
  private final RunnerDialect dialect;
  private final Orders orders;
  private RunnerEntry runner;
  private final Deque<EngineTask> tasks = new ArrayDeque<>();
  private final AdapterSlots adapters = new AdapterSlots();
  private final OutstandingOrders late;
  private Set<String> models = new HashSet<>();
  private Set<String> inHostMemory = Set.of();
  private Set<String> onDisk = Set.of();
  private Optional<EngineTask> current = Optional.empty();
  private long acceptedOrders = -1;
  private long lastOrderAt = Long.MIN_VALUE / 2;
  private long reportAt = Long.MIN_VALUE / 2;
  private boolean busy;
  private boolean reading;
  private boolean sending;
  private boolean unloading;
  private boolean overtaken; // an order that was not counted took effect since the task began
  private boolean loadingFromStore;

  /** What orders need of the planner. */
  interface Orders {
    /** Returns the grant under which orders may be sent now. */
    Optional<LeaseGrant> grant();

    /** Returns this instance's identifier, as runners are told it. */
    String holder();

    /** A runner finished loading a model. */
    void loaded(String runner, String model);

    /** A runner is about to drop a model. */
    void dropping(String runner, String model);
  }

  /**
   * Creates the control of a runner that nothing is known of yet.
   *
   * @param late what earlier lives of the runner were ordered to load
   */
  EngineController(
      Vertx vertx,
      HttpClient client,
      RunnerDialect dialect,
      Orders orders,
      OutstandingOrders late) {
    this.late = late;
    this.vertx = vertx;
    this.calls = new RunnerClient(client, dialect);
    this.dialect = dialect;
    this.orders = orders;
  }

  void update(RunnerEntry entry, boolean newLife, int slots) {
    runner = entry;
    adapters.setSlots(slots);
    if (newLife) {
      abandonAll();
      acceptedOrders = -1;
      late.newLife();
      adapters.clear();
      busy = false;
      entry.models().ifPresent(this::holdOnly);
    }
    inHostMemory = entry.inHostMemory();
    onDisk = entry.onDisk();
  }

  RunnerEntry runner() {
    return runner;
  }

  /** Returns the models that it holds or may come to hold by an order without an answer. */
  Set<String> possiblyHeld() {
    Set<String> held = new HashSet<>(models);
    held.addAll(late.models(MonotonicClock.milliseconds()));
    current.filter(task -> task.action() == Action.LOAD).ifPresent(task -> held.add(task.model()));
    tasks.stream().filter(task -> task.action() == Action.LOAD).forEach(t -> held.add(t.model()));
    return held;
  }

  Set<String> inHostMemory() {
    return inHostMemory;
  }

  Set<String> onDisk() {
    return onDisk;
  }

  /** Returns whether a move can begin now. */
  boolean isReady() {
    return acceptedOrders >= 0 && !busy && current.isEmpty() && tasks.isEmpty();
  }

  /** Returns whether a load from the weight store may be going on. */
  boolean isLoadingFromStore() {
    return isLoading() && loadingFromStore;
  }

  private boolean isLoading() {
    return current.filter(EngineController::loadsModel).isPresent();
  }

  private static boolean loadsModel(EngineTask task) {
    return task.action() == Action.LOAD && task.adapter().isEmpty();
  }

  /** Begins a move. */
  void begin(ReplicaMove move) {
    loadingFromStore = move.fromStore();
    for (String model : move.unload()) {
      orders.dropping(runner.id(), model);
      tasks.add(new EngineTask(Action.UNLOAD, model, Optional.empty()));
    }
    tasks.add(new EngineTask(Action.LOAD, move.load(), Optional.empty()));
    proceed();
  }

  /** Has an adapter loaded; completes with whether it is there. */
  CompletableFuture<Boolean> ensureAdapter(String model, String adapter) {
    String key = model + '/' + adapter;
    long now = MonotonicClock.milliseconds();
    if (!models.contains(model) || acceptedOrders < 0) {
      return CompletableFuture.completedFuture(false);
    }
    if (adapters.use(key, now)) {
      return CompletableFuture.completedFuture(true);
    }
    Optional<EngineTask> pending =
        Stream.concat(current.stream(), tasks.stream())
            .filter(task -> task.isLoadOf(model, adapter))
            .findFirst();
    if (pending.isPresent()) {
      return pending.get().done();
    }
    if (isLoading()) {
      return CompletableFuture.completedFuture(false);
    }
    if (!makeRoom(now)) {
      return CompletableFuture.completedFuture(false);
    }
    EngineTask task = new EngineTask(Action.LOAD, model, Optional.of(adapter));
    tasks.add(task);
    proceed();
    return task.done();
  }

  /** Reads the runner's state if what is known is old, and goes on with its tasks. */
  void tick() {
    long now = MonotonicClock.milliseconds();
    boolean waitingForOrder = current.isPresent() || busy || acceptedOrders < 0;
    long interval = waitingForOrder ? POLL_MILLISECONDS : IDLE_POLL_MILLISECONDS;
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
  }

  private boolean makeRoom(long now) {
    long pending =
        Stream.concat(current.stream(), tasks.stream())
            .filter(task -> task.adapter().isPresent() && task.action() == Action.LOAD)
            .count();
    if (adapters.taken() + late.adapters(now) + pending < adapters.slots()) {
      return true;
    }
    Optional<String> victim = adapters.release(now);
    if (victim.isEmpty()) {
      return false;
    }
    String[] names = victim.get().split("/", 2);
    tasks.add(new EngineTask(Action.UNLOAD, names[0], Optional.of(names[1])));
    return true;
  }

  private void proceed() {
    if (sending || current.isPresent() || tasks.isEmpty() || busy || acceptedOrders < 0) {
      return;
    }
    current = Optional.of(tasks.poll());
    overtaken = false;
    send(current.get());
  }

  private void send(EngineTask task) {
    Optional<LeaseGrant> grant = orders.grant();
    if (grant.isEmpty()) {
      abandonAll();
      return;
    }
    boolean adapterWithoutSlot =
        task.adapter().isPresent()
            && task.action() == Action.LOAD
            && adapters.taken() + late.adapters(MonotonicClock.milliseconds()) >= adapters.slots();
    if (adapterWithoutSlot) {
      complete(task, false);
      return;
    }
    task.countTry();
    if (task.tries() > MAXIMUM_TRIES) {
      LOGGER.warn("runner={} {} {} given up", runner.id(), task.action(), task.model());
      complete(task, false);
      return;
    }
    final RunnerOrder order =
        new RunnerOrder(
            task.action(),
            task.model(),
            task.adapter(),
            orders.holder(),
            grant.get().fencingToken(),
            acceptedOrders);
    sending = true;
    lastOrderAt = MonotonicClock.milliseconds();
    if (task.action() == Action.LOAD) {
      late.sent(task.load(), lastOrderAt);
    }
    calls
        .order(runner, dialect.encodeOrder(order))
        .whenComplete(
            (answer, failure) -> {
              sending = false;
              // Reports that were asked for before the answer may be older than the order.
              lastOrderAt = MonotonicClock.milliseconds();
              OrderOutcome outcome =
                  failure == null ? dialect.orderOutcome(answer.status()) : OrderOutcome.UNKNOWN;
              if (outcome != OrderOutcome.UNKNOWN && task.action() == Action.LOAD) {
                late.answered(task.load());
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
              ordered(task, outcome);
            });
  }

  /** Plans without the runner until it answers again. */
  private void unreachable() {
    LOGGER.info("runner={} unreachable", runner.id());
    acceptedOrders = -1;
    abandonAll();
  }

  private void ordered(EngineTask task, OrderOutcome outcome) {
    if (current.isEmpty() || current.get() != task) {
      return;
    }
    boolean afterUnload = task.action() == Action.LOAD && unloading;
    switch (outcome) {
      case ACCEPTED, FULFILLED -> accepted(task, outcome);
      case CONFLICT -> {
        if (afterUnload && task.tries() < MAXIMUM_TRIES / 2) {
          vertx.setTimer(UNLOAD_RETRY_MILLISECONDS, fired -> sendAgain(task));
        } else {
          readAgainLater();
        }
      }
      case UNKNOWN -> vertx.setTimer(UNLOAD_RETRY_MILLISECONDS, fired -> sendAgain(task));
      case INVALID -> {
        acceptedOrders = -1; // read again before any further order
        complete(task, false);
      }
      default -> complete(task, false);
    }
  }

  private void sendAgain(EngineTask task) {
    if (current.isPresent() && current.get() == task && !sending) {
      send(task);
    }
  }

  private void accepted(EngineTask task, OrderOutcome outcome) {
    acceptedOrders++;
    task.accept();
    unloading = task.action() == Action.UNLOAD && task.adapter().isEmpty();
    if (task.adapter().isPresent()) {
      adapterOrdered(task, outcome);
      return;
    }
    if (task.action() == Action.UNLOAD) {
      models.remove(task.model());
      adapters.forgetModel(task.model());
    }
    boolean moreToCome = unloading && !tasks.isEmpty();
    if (outcome == OrderOutcome.FULFILLED || moreToCome) {
      // The runner refuses the next order until the unload is done.
      complete(task, true);
      return;
    }
    busy = true;
    readAgainLater();
  }

  /** Lets the next order follow at once; requests for the adapter wait until it is there. */
  private void adapterOrdered(EngineTask task, OrderOutcome outcome) {
    String key = task.model() + '/' + task.adapter().orElseThrow();
    current = Optional.empty();
    if (task.action() == Action.LOAD) {
      adapters.loaded(key, MonotonicClock.milliseconds());
      long wait = outcome == OrderOutcome.FULFILLED ? 1 : ADAPTER_LOAD_MILLISECONDS;
      vertx.setTimer(wait, fired -> task.done().complete(true));
    } else {
      if (outcome == OrderOutcome.FULFILLED) {
        adapters.gone(key);
      }
      task.done().complete(true);
    }
    proceed();
  }

  private void readAgainLater() {
    vertx.setTimer(REPORT_LAG_MILLISECONDS, fired -> readReport());
  }

  private void readReport() {
    if (reading) {
      return;
    }
    reading = true;
    long askedAt = MonotonicClock.milliseconds();
    calls
        .report(runner)
        .whenComplete(
            (answer, failure) -> {
              reading = false;
              reportAt = MonotonicClock.milliseconds();
              if (failure != null || answer.status() != SUCCESS) {
                LOGGER.debug("runner={} report unread", runner.id());
                return;
              }
              dialect.decodeReport(answer.body()).ifPresent(report -> learn(report, askedAt));
            });
  }

  private void learn(RunnerReport report, long askedAt) {
    inHostMemory = report.inHostMemory();
    onDisk = report.onDisk();
    boolean settled = askedAt - lastOrderAt >= REPORT_LAG_MILLISECONDS;
    if (!settled || sending) {
      return;
    }
    final boolean moved = acceptedOrders >= 0 && report.acceptedOrders() > acceptedOrders;
    overtaken |= moved;
    acceptedOrders = report.acceptedOrders();
    busy = report.busy();
    holdOnly(report.models());
    noteAdapters(report);
    if (current.isEmpty()) {
      proceed();
      return;
    }
    EngineTask task = current.get();
    if (busy) {
      return;
    }
    if (isFulfilled(task)) {
      complete(task, true);
    } else if ((task.isAccepted() && !moved) || (overtaken && loadsModel(task))) {
      complete(task, false); // what the runner holds is not what was planned with
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
    current = Optional.empty();
    if (success && task.action() == Action.LOAD) {
      if (task.adapter().isPresent()) {
        adapters.loaded(task.model() + '/' + task.adapter().get(), MonotonicClock.milliseconds());
      } else {
        models.add(task.model());
        orders.loaded(runner.id(), task.model());
      }
    }
    if (!success && task.adapter().isPresent() && task.action() == Action.UNLOAD) {
      adapters.keep(task.model() + '/' + task.adapter().get());
    }
    if (!success && task.adapter().isEmpty()) {
      tasks.forEach(each -> each.done().complete(false));
      tasks.clear();
    }
    task.done().complete(success);
    proceed();
  }

  private void holdOnly(Iterable<LoadedModel> held) {
    models = new HashSet<>();
    held.forEach(model -> models.add(model.name()));
  }

  private void noteAdapters(RunnerReport report) {
    Set<String> present = new HashSet<>(report.loadingAdapters());
    for (LoadedModel model : report.models()) {
      model.adapters().forEach(adapter -> present.add(model.name() + '/' + adapter));
    }
    adapters.reported(present);
  }
}
