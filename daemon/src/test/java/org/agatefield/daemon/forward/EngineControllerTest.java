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

/** A runner over sockets whose answers and reports are late. */
class EngineControllerTest {
  private static final Duration PATIENCE = Duration.ofSeconds(10);
  private static final long SLOW_ANSWER_MILLISECONDS = 300;
  private static final long REPORT_AGE_MILLISECONDS = 250; // some hundred, by the pages
  private static final int ACCEPTED = 202;
  private static final int CONFLICT = 409;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final List<String> orders = new CopyOnWriteArrayList<>();
  private volatile RunnerReport report = report(0, false);
  private volatile int orderStatus = ACCEPTED;
  private volatile long answerDelay = 1;
  private EngineController control;

  /** Writes orders as their model's name; the report is handed over beside the wire. */
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

  private static final class Granted implements EngineController.Orders {
    @Override
    public Optional<LeaseGrant> grant() {
      return Optional.of(new LeaseGrant(1, Long.MAX_VALUE));
    }

    @Override
    public String holder() {
      return "planner";
    }

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
          control =
              new EngineController(
                  vertx,
                  vertx.createHttpClient(),
                  new Dialect(),
                  new Granted(),
                  new OutstandingOrders());
          control.update(entry, true, 8);
          return null;
        });
    await().atMost(PATIENCE).until(() -> ticked(control::isReady));
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

  private <T> T onLoop(Supplier<T> work) {
    CompletableFuture<T> done = new CompletableFuture<>();
    context.runOnContext(run -> done.complete(work.get()));
    return done.join();
  }

  private <T> T ticked(Supplier<T> question) {
    return onLoop(
        () -> {
          control.tick();
          return question.get();
        });
  }

  private void begin(String model) {
    onLoop(
        () -> {
          control.begin(new ReplicaMove("r", List.of(), model, true, 1_000));
          return null;
        });
  }

  @Test
  void modelWhoseOrderWasAnsweredLateStaysHeldWhileReportsAreOlderThanTheAnswer() {
    answerDelay = SLOW_ANSWER_MILLISECONDS;
    final long begun = System.nanoTime();
    begin("a");
    await().atMost(PATIENCE).until(() -> orders.size() == 1);
    long until =
        begun + Duration.ofMillis(SLOW_ANSWER_MILLISECONDS + REPORT_AGE_MILLISECONDS).toNanos();
    while (System.nanoTime() < until) {
      assertTrue(ticked(control::possiblyHeld).contains("a"), "the report is older than the order");
    }
    report = report(1, false, "a");
    await().atMost(PATIENCE).until(() -> ticked(control::isReady));
    assertEquals(Set.of("a"), onLoop(control::possiblyHeld));
  }

  @Test
  void loadThatAnotherOrderOvertookIsPlannedAnew() {
    orderStatus = CONFLICT;
    begin("b");
    await().atMost(PATIENCE).until(() -> orders.size() == 1);
    report = report(1, true);
    orderStatus = ACCEPTED;
    await().pollDelay(Duration.ofSeconds(1)).atMost(PATIENCE).until(() -> ticked(() -> true));
    report = report(1, false, "other");
    await().atMost(PATIENCE).until(() -> ticked(control::isReady));
    assertEquals(1, orders.size(), orders.toString());
    assertEquals(Set.of("other"), onLoop(control::possiblyHeld));
  }
}
