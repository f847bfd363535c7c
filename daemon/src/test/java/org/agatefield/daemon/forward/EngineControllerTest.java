package org.agatefield.daemon.forward;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.agatefield.daemon.forward.wire.OrderOutcome;
import org.agatefield.daemon.forward.wire.RateLimitAnnouncement;
import org.agatefield.daemon.forward.wire.ResponseKind;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.daemon.forward.wire.RunnerOrder;
import org.agatefield.daemon.forward.wire.SendTerms;
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
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final List<String> orders = new CopyOnWriteArrayList<>();
  private volatile RunnerReport report = report(0, false);
  private volatile int orderStatus = ACCEPTED;
  private volatile long answerDelay = 1;
  private EngineController controller;

  /**
   * Encodes orders as text with the model's name; reports are passed directly instead of being
   * decoded.
   */
  private final class Dialect implements RunnerDialect {
    @Override
    public void writeTerms(SendTerms terms, MultiMap headers) {}

    @Override
    public ResponseKind responseKind(int status, MultiMap headers, String requestId) {
      return ResponseKind.SUCCESS;
    }

    @Override
    public boolean isLeaving(MultiMap headers) {
      return false;
    }

    @Override
    public OptionalLong backoffMilliseconds(int status, MultiMap headers) {
      return OptionalLong.empty();
    }

    @Override
    public RateLimitAnnouncement rateLimit(MultiMap headers) {
      return new RateLimitAnnouncement.NotLimited();
    }

    @Override
    public String orderPath() {
      return "/order";
    }

    @Override
    public Buffer encodeOrder(RunnerOrder order) {
      return Buffer.buffer(order.action() + " " + order.model() + " " + order.acceptedOrders());
    }

    @Override
    public OrderOutcome orderOutcome(int status) {
      return status == ACCEPTED ? OrderOutcome.ACCEPTED : OrderOutcome.CONFLICT;
    }

    @Override
    public String expectedRunnerHeader() {
      return "Expected";
    }

    @Override
    public String reportPath() {
      return "/report";
    }

    @Override
    public Optional<RunnerReport> decodeReport(Buffer body) {
      return Optional.of(report);
    }
  }

  private static final class Granted implements EngineController.PlannerCallbacks {
    @Override
    public Optional<LeaseGrant> grant() {
      return Optional.of(new LeaseGrant(1, Long.MAX_VALUE));
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
  }

  private static RunnerReport report(long acceptedOrders, boolean busy, String... models) {
    List<LoadedModel> held =
        java.util.Arrays.stream(models).map(name -> new LoadedModel(name, Set.of())).toList();
    return new RunnerReport(1, held, Set.of(), busy, acceptedOrders, Set.of(), Set.of());
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
    RunnerEntry entry =
        new RunnerEntry(
            "r",
            1,
            OptionalLong.empty(),
            "service",
            new Address("127.0.0.1", server.actualPort()),
            "domain",
            96,
            false,
            OptionalLong.empty(),
            Optional.of(List.of()),
            Set.of(),
            Set.of());
    onLoop(
        () -> {
          controller =
              new EngineController(
                  vertx,
                  vertx.createHttpClient(),
                  new Dialect(),
                  new Granted(),
                  new OutstandingOrders());
          controller.update(entry, true, 8);
          return null;
        });
    await().atMost(TIMEOUT).until(() -> afterTick(controller::isReady));
  }

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void answer(HttpServerRequest request) {
    if (request.path().equals("/report")) {
      request.response().end("{}");
      return;
    }
    request
        .body()
        .onSuccess(
            body -> {
              orders.add(body.toString());
              int status = orderStatus;
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
    onLoop(
        () -> {
          controller.begin(new ReplicaMove("r", List.of(), model, true, 1_000));
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
}
