package org.agatefield.standin.service;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Simulates a plain booking service. It counts executions by idempotency key but does not
 * deduplicate them: a call that arrives twice is executed twice.
 *
 * <p>All state is confined to the one event loop of its HTTP server.
 */
public final class ServiceStandin {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final int STATUS_CREATED = 201;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_UNAVAILABLE = 503;

  private final Vertx vertx;
  private final int port;
  private final String name;
  private final Map<String, Booking> bookings = new LinkedHashMap<>();
  private final Map<String, Booking> outcomes = new HashMap<>();
  private final Map<String, Integer> executionsByKey = new HashMap<>();
  private ServiceFaults faults = ServiceFaults.NONE;
  private int faultyCalls;
  private long executions;

  /** Creates a service without bookings; port 0 selects any free port. */
  public ServiceStandin(Vertx vertx, int port, String name) {
    this.vertx = vertx;
    this.port = port;
    this.name = name;
  }

  /** Starts listening; the result is the port. */
  public Future<Integer> start() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(64L * 1024 * 1024));
    router.post("/bookings").handler(this::book);
    router.get("/bookings/:id").handler(this::readBooking);
    router.get("/outcomes/:key").handler(this::readOutcome);
    router
        .get("/executions")
        .handler(context -> answer(context, 200, new ExecutionCounts(executions, executionsByKey)));
    router.post("/faults").handler(this::setFaults);
    return vertx
        .createHttpServer()
        .requestHandler(router)
        .listen(port, "127.0.0.1")
        .map(HttpServer::actualPort);
  }

  private void book(RoutingContext context) {
    ServiceFaults active = consumeFaults();
    after(active.slowMilliseconds(), () -> execute(context, active));
  }

  private void execute(RoutingContext context, ServiceFaults active) {
    if (active.refuse()) {
      answer(context, STATUS_UNAVAILABLE, Map.of("error", "the service refuses calls"));
      return;
    }
    if (active.resetBeforeExecution()) {
      context.response().reset();
      return;
    }
    Booking booking = record(context, active.largeAnswerBytes());
    if (active.resetAfterExecution()) {
      context.response().reset();
      return;
    }
    after(active.answerLateMilliseconds(), () -> answer(context, STATUS_CREATED, booking));
  }

  private Booking record(RoutingContext context, int largeAnswerBytes) {
    String key = Optional.ofNullable(context.request().getHeader(KEY_HEADER)).orElse("");
    executions++;
    int execution = executionsByKey.merge(key, 1, Integer::sum);
    Booking booking =
        new Booking(
            name + "-" + executions,
            key,
            execution,
            checksum(context.body().buffer()),
            "x".repeat(largeAnswerBytes));
    bookings.put(booking.id(), booking);
    outcomes.putIfAbsent(key, booking);
    return booking;
  }

  private void readBooking(RoutingContext context) {
    ServiceFaults active = consumeFaults();
    after(active.slowMilliseconds(), () -> answerRead(context, active));
  }

  private void answerRead(RoutingContext context, ServiceFaults active) {
    if (active.refuse()) {
      answer(context, STATUS_UNAVAILABLE, Map.of("error", "the service refuses calls"));
    } else if (active.resetBeforeExecution() || active.resetAfterExecution()) {
      context.response().reset();
    } else {
      answerFound(context, bookings.get(context.pathParam("id")));
    }
  }

  private void readOutcome(RoutingContext context) {
    answerFound(context, outcomes.get(context.pathParam("key")));
  }

  private static void answerFound(RoutingContext context, Booking booking) {
    if (booking == null) {
      answer(context, STATUS_NOT_FOUND, Map.of("error", "no such booking"));
    } else {
      answer(context, 200, booking);
    }
  }

  private ServiceFaults consumeFaults() {
    if (faultyCalls == 0) {
      return ServiceFaults.NONE;
    }
    if (faultyCalls > 0) {
      faultyCalls--;
    }
    return faults;
  }

  private void setFaults(RoutingContext context) {
    try {
      faults = MAPPER.readValue(context.body().buffer().getBytes(), ServiceFaults.class);
      faultyCalls = faults.calls() == 0 ? -1 : faults.calls();
      answer(context, 200, faults);
    } catch (IOException exception) {
      answer(context, 400, Map.of("error", "malformed faults: " + exception.getMessage()));
    }
  }

  private void after(long milliseconds, Runnable action) {
    if (milliseconds <= 0) {
      action.run();
    } else {
      vertx.setTimer(milliseconds, ignored -> action.run());
    }
  }

  private static String checksum(Buffer body) {
    CRC32 checksum = new CRC32();
    checksum.update(body == null ? new byte[0] : body.getBytes());
    return Long.toHexString(checksum.getValue());
  }

  private static void answer(RoutingContext context, int status, Object value) {
    try {
      context
          .response()
          .setStatusCode(status)
          .putHeader("content-type", "application/json")
          .end(Buffer.buffer(MAPPER.writeValueAsBytes(value)));
    } catch (IOException exception) {
      context.fail(exception);
    }
  }
}
