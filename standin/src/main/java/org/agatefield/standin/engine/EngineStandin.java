package org.agatefield.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import org.agatefield.model.LoadReport;

/**
 * Simulates a model engine behind an HTTP interface.
 *
 * <p>Invariant: counters count what was executed, not what was requested. All state is confined to
 * the one event loop of its HTTP server.
 */
public final class EngineStandin {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final int RETAINED_EXECUTIONS = 200_000;

  private final Vertx vertx;
  private final EngineStandinOptions options;
  private final String bootIdentifier = UUID.randomUUID().toString();
  private final EngineMemory memory;
  private final EngineOrders orders;
  private final GenerationBatch batch;
  private final PrefixCache prefixCache = new PrefixCache();
  private final Map<String, Integer> executions = new LinkedHashMap<>();
  private EngineFaults faults = EngineFaults.NONE;
  private int faultyGenerations;
  private long generationStarts;
  private long requestsCutByUnload;
  private LoadReport publishedReport;
  private long publishedAtNanoseconds;

  /** Creates an engine with nothing loaded. */
  public EngineStandin(Vertx vertx, EngineStandinOptions options) {
    this.vertx = vertx;
    this.options = options;
    this.memory = new EngineMemory(options.memoryMegabytes(), options.checksFencingTokens());
    this.batch = new GenerationBatch(vertx, options);
    this.orders = new EngineOrders(vertx, options, memory, this::versionUnloaded);
  }

  /** Starts listening; the result is the port. */
  public Future<Integer> start() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(64L * 1024 * 1024));
    router.get("/load").handler(this::loadReport);
    router.post("/orders").handler(this::order);
    router.post("/faults").handler(this::setFaults);
    router.get("/violations").handler(this::violations);
    router.get("/cache-events").handler(this::cacheEvents);
    router.post("/requests/:id/cancel").handler(this::cancel);
    router.post("/v1/chat/completions").handler(context -> generate(context, true));
    router.post("/v1/completions").handler(context -> generate(context, false));
    return vertx
        .createHttpServer(new HttpServerOptions().setTcpNoDelay(true).setMaxHeaderSize(64 * 1024))
        .requestHandler(router)
        .listen(options.port(), "127.0.0.1")
        .map(HttpServer::actualPort);
  }

  private void loadReport(RoutingContext context) {
    long now = System.nanoTime();
    long lagNanoseconds = faults.lagLoadReportMilliseconds() * 1_000_000;
    if (publishedReport == null || now - publishedAtNanoseconds >= lagNanoseconds) {
      publishedReport = currentReport();
      publishedAtNanoseconds = now;
    }
    answer(context, publishedReport);
  }

  private LoadReport currentReport() {
    return new LoadReport(
        bootIdentifier,
        options.memoryMegabytes(),
        memory.usedMegabytes(),
        batch.runningCount(),
        batch.waitingCount(),
        memory.versionNames(),
        memory.adapterNames(),
        memory.highestFencingToken());
  }

  private void order(RoutingContext context) {
    read(context, OrderMessage.class)
        .onSuccess(
            order -> {
              long delay = faults.delayOrdersMilliseconds();
              if (delay > 0) {
                vertx.setTimer(delay, ignored -> execute(context, order));
              } else {
                execute(context, order);
              }
            });
  }

  private void execute(RoutingContext context, OrderMessage order) {
    boolean loseAnswer = faults.loseOrderAnswers();
    if (faults.duplicateOrders()) {
      orders.execute(order);
    }
    orders
        .execute(order)
        .onSuccess(
            result -> {
              if (loseAnswer) {
                context.response().reset();
              } else {
                answer(context, new OrderAnswer(result));
              }
            });
  }

  private void versionUnloaded(String version) {
    batch.abortMatching(
        request -> {
          boolean cut = request.message.model().startsWith(version);
          if (cut) {
            requestsCutByUnload++;
          }
          return cut;
        });
  }

  private void setFaults(RoutingContext context) {
    read(context, EngineFaults.class)
        .onSuccess(
            newFaults -> {
              faults = newFaults;
              faultyGenerations = newFaults.generations() == 0 ? -1 : newFaults.generations();
              batch.setFaults(newFaults);
              answer(context, newFaults);
            });
  }

  private void violations(RoutingContext context) {
    answer(
        context,
        new EngineRecord(
            memory.overcommits(),
            memory.refusedOrders(),
            memory.mostUsedMegabytes(),
            generationStarts,
            batch.cancelledCount(),
            requestsCutByUnload,
            executions));
  }

  private void cacheEvents(RoutingContext context) {
    String after = context.request().getParam("after", "0");
    answer(context, prefixCache.eventsAfter(Long.parseLong(after), System.nanoTime()));
  }

  private void cancel(RoutingContext context) {
    batch.stop(context.pathParam("id"));
    context.response().end();
  }

  private void generate(RoutingContext context, boolean chat) {
    read(context, JsonNode.class)
        .map(body -> GenerationMessage.read(chat, body))
        .onSuccess(message -> generate(context, message));
  }

  private void generate(RoutingContext context, GenerationMessage message) {
    boolean faulty = consumeFault();
    if (faulty && faults.refuse()) {
      refuse(context, 503, "overloaded");
      return;
    }
    String model = message.model();
    int colon = model.indexOf(':');
    String version = colon < 0 ? model : model.substring(0, colon);
    if (!memory.isVersionLoaded(version)) {
      refuse(context, 404, "version_not_loaded");
      return;
    }
    if (colon >= 0 && !memory.isAdapterLoaded(model)) {
      refuse(context, 404, "adapter_not_loaded");
      return;
    }
    if (message.maximumTokens() < 0) {
      refuse(context, 400, "invalid_max_tokens");
      return;
    }
    run(context, message, faulty);
  }

  private boolean consumeFault() {
    if (faultyGenerations == 0) {
      return false;
    }
    if (faultyGenerations > 0) {
      faultyGenerations--;
    }
    return true;
  }

  private void run(RoutingContext context, GenerationMessage message, boolean faulty) {
    String header = context.request().getHeader(REQUEST_ID_HEADER);
    String requestId = header == null ? UUID.randomUUID().toString() : header;
    generationStarts++;
    if (executions.size() < RETAINED_EXECUTIONS) {
      executions.merge(requestId, 1, Integer::sum);
    }
    context.response().putHeader(REQUEST_ID_HEADER, requestId);
    if (message.stream()) {
      context.response().putHeader("content-type", "text/event-stream").setChunked(true);
    } else {
      context.response().putHeader("content-type", "application/json");
    }
    int prefillSteps = prefixCache.admit(message.prompt(), System.nanoTime()) / 8;
    batch.add(new RunningRequest(requestId, message, context.response(), prefillSteps, faulty));
  }

  private static void refuse(RoutingContext context, int status, String code) {
    String requestId = context.request().getHeader(REQUEST_ID_HEADER);
    if (requestId != null) {
      context.response().putHeader(REQUEST_ID_HEADER, requestId);
    }
    context
        .response()
        .setStatusCode(status)
        .putHeader("content-type", "application/json")
        .end(AnswerFormat.error(code, code.replace('_', ' ')));
  }

  private static <T> Future<T> read(RoutingContext context, Class<T> type) {
    try {
      Buffer body = context.body().buffer();
      byte[] bytes = body == null ? new byte[0] : body.getBytes();
      return Future.succeededFuture(MAPPER.readValue(bytes, type));
    } catch (IOException exception) {
      refuse(context, 400, "malformed_body");
      return Future.failedFuture(exception);
    }
  }

  private static void answer(RoutingContext context, Object value) {
    try {
      context
          .response()
          .putHeader("content-type", "application/json")
          .end(Buffer.buffer(MAPPER.writeValueAsBytes(value)));
    } catch (IOException exception) {
      context.fail(exception);
    }
  }
}
