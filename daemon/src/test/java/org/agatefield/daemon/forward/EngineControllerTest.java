package org.agatefield.daemon.forward;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.agatefield.forwarding.LoadedModel;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.RunnerReport;
import org.agatefield.lease.LeaseGrant;
import org.agatefield.model.Address;
import org.agatefield.placement.ReplicaMove;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Uses a runner on real sockets that answers orders late and reports old state. */
class EngineControllerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long SLOW_ANSWER_MILLISECONDS = 300;
  // Per the specification, reports are some hundred milliseconds old.
  private static final long REPORT_AGE_MILLISECONDS = 250;
  private static final long TOO_SLOW_MILLISECONDS = 2_000;
  private static final long LONG_QUIET_MILLISECONDS = 300;
  private static final int ACCEPTED = 202;
  private static final int FULFILLED = 200;
  private static final int CONFLICT = 409;
  private static final int BROKEN = 500;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final List<String> orders = new CopyOnWriteArrayList<>();
  private volatile RunnerReport report = report(0, false);
  private volatile int orderStatus = ACCEPTED;
  private volatile Predicate<String> refused = order -> false;
  private volatile long answerDelay = 1;
  private volatile boolean silent;
  private volatile long token = 1;
  private final List<String> received = new CopyOnWriteArrayList<>();
  private final List<RunnerReport> reports = new CopyOnWriteArrayList<>();
  private final AtomicInteger storeLoadsAsked = new AtomicInteger();
  private volatile boolean storeAllowsLoads = true;
  private int port;
  private EngineController controller;

  private final class Granted implements EngineController.PlannerCallbacks {
    @Override
    public Optional<LeaseGrant> grant() {
      return Optional.of(new LeaseGrant(token, Long.MAX_VALUE));
    }

    @Override
    public String holder() {
      return "planner";
    }

    @Override
    public boolean isLimited(RunnerEntry runner) {
      return false;
    }

    @Override
    public void orderSent(RunnerEntry runner) {}

    @Override
    public void responded(RunnerEntry runner, RunnerClient.Response response) {}

    @Override
    public void loaded(String runner, String model) {}

    @Override
    public void dropping(String runner, String model) {}

    @Override
    public void reported(RunnerEntry runner, RunnerReport received) {
      reports.add(received);
    }

    @Override
    public boolean beginStoreLoad(RunnerEntry runner) {
      storeLoadsAsked.incrementAndGet();
      return storeAllowsLoads;
    }
  }

  private static RunnerReport report(long acceptedOrders, boolean busy, String... models) {
    return report(1, acceptedOrders, busy, models);
  }

  private static RunnerReport report(long acceptedOrders, LoadedModel... models) {
    return new RunnerReport(
        1, List.of(models), Set.of(), false, acceptedOrders, Set.of(), Set.of());
  }

  private static RunnerReport report(
      long startTime, long acceptedOrders, boolean busy, String... models) {
    List<LoadedModel> held =
        java.util.Arrays.stream(models).map(name -> new LoadedModel(name, Set.of())).toList();
    return new RunnerReport(startTime, held, Set.of(), busy, acceptedOrders, Set.of(), Set.of());
  }

  @BeforeEach
  void start() {
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(this::answer)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    port = server.actualPort();
    RunnerEntry entry = entry();
    onLoop(
        () -> {
          controller =
              new EngineController(
                  vertx,
                  RunnerClient.createHttpClient(vertx),
                  new TextRunnerDialect(() -> report),
                  new Granted(),
                  new OutstandingOrders(),
                  new OrdersInTransit());
          controller.update(entry, true, 8);
          return null;
        });
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
  }

  private RunnerEntry entry(String... models) {
    return entry(1, models);
  }

  private RunnerEntry entry(long startTime, String... models) {
    List<LoadedModel> held =
        java.util.Arrays.stream(models).map(name -> new LoadedModel(name, Set.of())).toList();
    return new RunnerEntry(
        "r",
        startTime,
        OptionalLong.empty(),
        "service",
        new Address("127.0.0.1", port),
        "domain",
        96,
        false,
        OptionalLong.empty(),
        Optional.of(held),
        Set.of(),
        Set.of());
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void answer(HttpServerRequest request) {
    if (silent) {
      request.body().onSuccess(body -> received.add(request.path()));
      return;
    }
    if (request.path().equals("/report")) {
      request.response().end("{}");
      return;
    }
    request
        .body()
        .onSuccess(
            body -> {
              orders.add(body.toString());
              int status = refused.test(body.toString()) ? CONFLICT : orderStatus;
              vertx.setTimer(answerDelay, fired -> request.response().setStatusCode(status).end());
            });
  }

  private <T> T onLoop(Supplier<T> task) {
    CompletableFuture<T> done = new CompletableFuture<>();
    context.runOnContext(run -> done.complete(task.get()));
    return done.join();
  }

  private <T> T afterTick(Supplier<T> query) {
    return onLoop(
        () -> {
          controller.tick();
          return query.get();
        });
  }

  private void startLoad(String model) {
    startMove(List.of(), model);
  }

  private void startMove(List<String> unload, String load) {
    onLoop(
        () -> {
          controller.begin(new ReplicaMove("r", unload, load, true, 1_000));
          return null;
        });
  }

  @Test
  void modelWithDelayedOrderResponseStaysHeldWhileReportsAreOlderThanTheResponse() {
    answerDelay = SLOW_ANSWER_MILLISECONDS;
    final long startedAt = System.nanoTime();
    startLoad("a");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    long oldReportsUntil =
        startedAt + Duration.ofMillis(SLOW_ANSWER_MILLISECONDS + REPORT_AGE_MILLISECONDS).toNanos();
    while (System.nanoTime() < oldReportsUntil) {
      assertTrue(
          afterTick(controller::possiblyHeld).contains("a"), "the report is older than the order");
    }
    report = report(1, false, "a");
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
    assertEquals(Set.of("a"), onLoop(controller::possiblyHeld));
  }

  @Test
  void loadIsAbandonedWhenAnotherOrderTookEffectFirst() {
    orderStatus = CONFLICT;
    startLoad("b");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    report = report(1, true);
    orderStatus = ACCEPTED;
    await().pollDelay(Duration.ofSeconds(1)).atMost(TIMEOUT).until(() -> afterTick(() -> true));
    report = report(1, false, "other");
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
    assertEquals(1, orders.size(), orders.toString());
    assertEquals(Set.of("other"), onLoop(controller::possiblyHeld));
  }

  private void holdModel(String model) {
    holdModels(model);
  }

  private void holdModels(String... held) {
    report = report(0, false, held);
    await().atMost(TIMEOUT).until(() -> afterTick(controller::possiblyHeld).equals(Set.of(held)));
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
  }

  private CompletableFuture<Boolean> ensureAdapter(String model, String adapter) {
    return onLoop(() -> controller.ensureAdapter(model, adapter));
  }

  @Test
  void adapterIsLoadedWhileModelIsBeingLoaded() {
    holdModel("a");
    startLoad("b");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    report = report(1, true, "a");
    await().atMost(TIMEOUT).until(() -> ensureAdapter("a", "x").join());
    assertEquals(List.of("LOAD b 0", "LOAD a/x 1"), orders);
  }

  @Test
  void adapterThatRunnerRefusesBesideModelLoadIsNotOrderedAgainDuringThatLoad() {
    holdModel("a");
    startLoad("b");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    report = report(1, true, "a");
    await().atMost(TIMEOUT).until(() -> reports.contains(report));
    orderStatus = CONFLICT;
    assertFalse(ensureAdapter("a", "x").join());
    assertFalse(ensureAdapter("a", "x").join());
    assertEquals(2, orders.size(), orders.toString());
    orderStatus = ACCEPTED;
    report = report(1, false, "a", "b");
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
    assertTrue(ensureAdapter("a", "x").join());
  }

  @Test
  void noAdapterIsOrderedWhileItIsUnknownWhetherModelOrderWasAccepted() {
    holdModel("a");
    orderStatus = BROKEN;
    startLoad("b");
    await().atMost(TIMEOUT).until(() -> !orders.isEmpty());
    final CompletableFuture<Boolean> adapter = ensureAdapter("a", "x");
    await().atMost(TIMEOUT).until(() -> orders.size() >= 4);
    assertEquals(Set.of("LOAD b 0"), Set.copyOf(orders));
    orderStatus = ACCEPTED;
    assertTrue(adapter.join());
  }

  @Test
  void loadIsSeenToBeCompleteWhileAdapterOrdersKeepComing() {
    holdModel("a");
    onLoop(
        () -> {
          controller.update(controller.runner(), false, 10_000);
          return null;
        });
    startLoad("b");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    report = report(1, false, "a", "b");
    AtomicInteger names = new AtomicInteger();
    await()
        .pollInterval(Duration.ofMillis(20))
        .atMost(TIMEOUT)
        .until(
            () -> {
              ensureAdapter("a", "x" + names.incrementAndGet());
              return afterTick(controller::isReady);
            });
    assertEquals(Set.of("a", "b"), onLoop(controller::possiblyHeld));
  }

  @Test
  void loadFromStoreIsNotOrderedBeforeTheStoreAllowsIt() {
    storeAllowsLoads = false;
    startLoad("b");
    await().atMost(TIMEOUT).until(() -> storeLoadsAsked.get() >= 3);
    assertTrue(orders.isEmpty(), orders.toString());
    storeAllowsLoads = true;
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
  }

  @Test
  void adaptersAreLoadedAheadOnlyWhileSlotsAreFree() {
    holdModel("a");
    onLoop(
        () -> {
          controller.update(controller.runner(), false, 2);
          controller.preloadAdapters("a", List.of("x1", "x2", "x3"));
          return null;
        });
    assertTrue(ensureAdapter("a", "x1").join());
    assertTrue(ensureAdapter("a", "x2").join());
    assertEquals(List.of("LOAD a/x1 0", "LOAD a/x2 1"), orders);
  }

  @Test
  void loadIsCompleteOnceTheRunnerEntryListsTheModel() {
    startLoad("b");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    report = report(1, true);
    await().atMost(TIMEOUT).until(() -> reports.contains(report));
    assertFalse(onLoop(controller::isReady));
    boolean ready =
        onLoop(
            () -> {
              controller.update(entry("b"), false, 8);
              return controller.isReady();
            });
    assertTrue(ready);
    assertEquals(Set.of("b"), onLoop(controller::possiblyHeld));
  }

  /** Guards against a load beside a model that a late order loaded (review/12). */
  @Test
  void moveIsAbandonedWhenAnotherOrderTookEffectWhileItsUnloadWasPending() {
    holdModels("a", "b");
    orderStatus = CONFLICT;
    startMove(List.of("b"), "d");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    report = report(1, false, "a", "b", "c");
    orderStatus = ACCEPTED;
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
    assertEquals(List.of("UNLOAD b 0"), orders);
    assertEquals(Set.of("a", "b", "c"), onLoop(controller::possiblyHeld));
  }

  /** Guards against a move that waits behind another order and outlives its plan (review/12). */
  @Test
  void moveIsAbandonedWhenAnotherOrderTookEffectBeforeItsFirstOrder() {
    holdModels("a", "b");
    orderStatus = BROKEN;
    ensureAdapter("a", "x");
    startMove(List.of("b"), "d");
    await().atMost(TIMEOUT).until(() -> orders.size() >= 2);
    orderStatus = CONFLICT;
    report = report(1, false, "a", "b", "c");
    await().atMost(TIMEOUT).until(() -> afterTick(() -> reports.contains(report)));
    orderStatus = ACCEPTED;
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
    assertFalse(orders.stream().anyMatch(order -> !order.contains("a/x")), orders.toString());
  }

  /** Guards against a load beside models that the plan did not know of. */
  @Test
  void moveIsAbandonedWhenTheModelToUnloadIsNotThere() {
    holdModels("a", "b");
    orderStatus = FULFILLED;
    startMove(List.of("b"), "d");
    await().atMost(TIMEOUT).until(() -> !orders.isEmpty());
    report = report(0, false, "a", "c");
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
    assertEquals(List.of("UNLOAD b 0"), orders);
    assertEquals(Set.of("a", "c"), onLoop(controller::possiblyHeld));
  }

  /** Guards against a move that goes on in a later process whose count is the same. */
  @Test
  void moveIsAbandonedWhenTheRunnerReportsAnotherProcess() {
    holdModels("a", "b");
    orderStatus = CONFLICT;
    startMove(List.of("b"), "d");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    report = report(2, 0, false, "b", "c");
    orderStatus = ACCEPTED;
    await().atMost(TIMEOUT).until(() -> afterTick(() -> reports.contains(report)));
    assertFalse(afterTick(controller::isReady), "the entry is of the process before");
    RunnerEntry restarted = entry(2);
    onLoop(
        () -> {
          controller.update(restarted, true, 8);
          return null;
        });
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
    assertEquals(List.of("UNLOAD b 0"), orders);
    assertEquals(Set.of("b", "c"), onLoop(controller::possiblyHeld));
  }

  /** Guards against more adapters than slots while a model leaves: its runs keep its adapters. */
  @Test
  void adaptersOfLeavingModelKeepTheirSlotsUntilItsUnloadIsComplete() {
    onLoop(
        () -> {
          controller.update(controller.runner(), false, 1);
          return null;
        });
    LoadedModel leaving = new LoadedModel("b", Set.of("x"));
    LoadedModel staying = new LoadedModel("a", Set.of());
    report = report(0, leaving, staying);
    await()
        .atMost(TIMEOUT)
        .until(() -> afterTick(controller::possiblyHeld).equals(Set.of("a", "b")));
    refused = order -> order.equals("LOAD d 1"); // The runner still executes the unload.
    startMove(List.of("b"), "d");
    await().atMost(TIMEOUT).until(() -> orders.contains("LOAD d 1"));
    assertFalse(ensureAdapter("a", "y").join());
    assertFalse(orders.contains("LOAD a/y 1"), orders.toString());
    refused = order -> false;
    report = report(2, false, "a", "d");
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
    assertTrue(ensureAdapter("a", "y").join());
  }

  /** Guards against more adapters than slots when a late order takes the last one (review/12). */
  @Test
  void adapterIsNotOrderedAgainWhenAnotherOrderTookItsSlot() {
    holdModel("a");
    onLoop(
        () -> {
          controller.update(controller.runner(), false, 1);
          return null;
        });
    orderStatus = CONFLICT;
    CompletableFuture<Boolean> adapter = ensureAdapter("a", "y");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    report = report(1, new LoadedModel("a", Set.of("x")));
    await().atMost(TIMEOUT).until(() -> afterTick(adapter::isDone));
    assertFalse(adapter.join());
    assertEquals(List.of("LOAD a/y 0"), orders);
  }

  private long arrived(String path) {
    return received.stream().filter(path::equals).count();
  }

  /** Guards against several orders that the network holds for one runner (review/11). */
  @Test
  void silentRunnerReceivesAtMostOneOrderAndThenOnlyReportRequestsUntilItResponds() {
    silent = true;
    startLoad("a");
    await().atMost(TIMEOUT).until(() -> afterTick(() -> arrived("/report") > 3));
    assertTrue(arrived("/order") <= 1, received.toString());
    silent = false;
    await().atMost(TIMEOUT).until(() -> !orders.isEmpty());
    assertEquals(List.of("LOAD a 0"), orders);
  }

  /** Guards against an order that the network holds for a runner that has just been cut off. */
  @Test
  void orderIsSentOnlyAfterRunnerThatWasNotHeardOfLatelyHasResponded() throws Exception {
    Thread.sleep(LONG_QUIET_MILLISECONDS);
    silent = true;
    startLoad("a");
    await().atMost(TIMEOUT).until(() -> afterTick(() -> arrived("/report") > 1));
    assertEquals(0, arrived("/order"));
    silent = false;
    await().atMost(TIMEOUT).until(() -> !orders.isEmpty());
  }

  /**
   * Guards against a copy of an order under a later grant that overtakes the first copy: the runner
   * would receive the lower token after the higher one.
   */
  @Test
  void orderIsAbandonedUnderLaterGrantWhileItsFirstCopyMayStillArrive() {
    answerDelay = TOO_SLOW_MILLISECONDS;
    startLoad("a");
    await().atMost(TIMEOUT).until(() -> orders.size() == 1);
    token = 2;
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady) || orders.size() > 1);
    assertEquals(List.of("LOAD a 0"), orders);
  }
}
