package org.agatefield.daemon.http;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The callers' HTTP interface.
 *
 * <p>Invariants: every request is answered once, with a whole answer or an error of the closed list
 * that says whether it ran; a request that is counted in at the shutdown coordinator is counted out
 * when nothing of it runs any more. Safe for use by any thread; each request is confined to its
 * context.
 */
public final class CallerApi {
  private static final Logger LOGGER = LogManager.getLogger(CallerApi.class);

  private final CallerApiParts parts;
  private final CallerIdentities identities;
  private final BodyReader bodies;
  private final GenerationHandler generations;
  private final ServiceHandler services;
  private final DirectoryHandler directory;
  private final Meter requests;
  private final String requestIdPrefix = UUID.randomUUID().toString().substring(0, 13);
  private final AtomicLong nextRequest = new AtomicLong(1);

  /** Creates the interface; it serves once it is mounted. */
  public CallerApi(CallerApiParts parts) {
    this.parts = parts;
    this.identities = new CallerIdentities(parts.configuration());
    this.bodies =
        new BodyReader(parts.vertx(), parts.limits().bodyBytes(), parts.limits().queuedBytes());
    this.generations = new GenerationHandler(parts);
    this.services = new ServiceHandler(parts);
    this.directory = new DirectoryHandler(parts);
    this.requests = parts.metrics().meter("agatefield.callers.requests");
    parts.metrics().gauge("agatefield.callers.held-bytes", () -> (Gauge<Long>) bodies::heldBytes);
    parts
        .metrics()
        .gauge("agatefield.callers.running", () -> (Gauge<Integer>) parts.shutdown()::running);
  }

  /** Adds the routes of the interface. */
  public void mount(Router router) {
    router.post("/v1/chat/completions").handler(context -> serve(context, generations.chat()));
    router.post("/v1/completions").handler(context -> serve(context, generations.completions()));
    router.route("/services/:name").handler(context -> serve(context, services::handle));
    router.route("/services/:name/*").handler(context -> serve(context, services::handle));
    router.get("/v1/models").handler(guarded(directory::models));
    router.get("/v1/models/:name").handler(guarded(directory::model));
    router.get("/v1/entries").handler(guarded(directory::entries));
    router.get("/healthz").handler(directory::health);
    router.get("/readyz").handler(directory::readiness);
    router.errorHandler(404, context -> refuse(context, notFound(context)));
    router.errorHandler(405, context -> refuse(context, notFound(context)));
    router.errorHandler(400, context -> refuse(context, malformed(context)));
    router.errorHandler(500, context -> refuse(context, fault(context)));
  }

  /** Serves a request whose body has been read. */
  @FunctionalInterface
  interface BodyHandler {
    /**
     * Serves the request.
     *
     * @param afterwards called once when nothing of the request runs any more
     * @throws AgatefieldException if the request is refused; {@code afterwards} is not called then
     */
    void handle(RoutingContext context, RequestTerms terms, Buffer body, Runnable afterwards);
  }

  private void serve(RoutingContext context, BodyHandler handler) {
    requests.mark();
    HttpServerRequest request = context.request();
    String requestId = requestIdPrefix + "-" + nextRequest.getAndIncrement();
    context.response().putHeader("X-Request-Id", requestId);
    if (!parts.shutdown().tryBegin()) {
      refuse(
          context,
          new AgatefieldException(ErrorKind.SHUTTING_DOWN, "this instance is shutting down"));
      return;
    }
    Runnable ending = parts.shutdown().ending();
    RequestTerms terms;
    try {
      terms =
          RequestTerms.read(
              request, requestId, identities.identify(request), parts.limits().defaultDeadline());
    } catch (AgatefieldException failure) {
      refuse(context, failure).onComplete(ignored -> ending.run());
      return;
    }
    bodies
        .read(request)
        .onSuccess(body -> serve(context, handler, terms, body, ending))
        .onFailure(
            failure ->
                refuse(context, AgatefieldException.from(failure))
                    .onComplete(ignored -> ending.run()));
  }

  private void serve(
      RoutingContext context,
      BodyHandler handler,
      RequestTerms terms,
      Buffer body,
      Runnable ending) {
    int length = body.length();
    Runnable afterwards =
        () -> {
          bodies.release(length);
          ending.run();
        };
    try {
      handler.handle(context, terms, body, afterwards);
    } catch (AgatefieldException failure) {
      refuse(context, failure).onComplete(ignored -> afterwards.run());
    } catch (RuntimeException exception) {
      refuse(context, AgatefieldException.from(exception)).onComplete(ignored -> afterwards.run());
    }
  }

  private Handler<RoutingContext> guarded(Handler<RoutingContext> handler) {
    return context -> {
      try {
        identities.identify(context.request());
        handler.handle(context);
      } catch (AgatefieldException failure) {
        refuse(context, failure);
      }
    };
  }

  private Future<Void> refuse(RoutingContext context, AgatefieldException failure) {
    parts.metrics().counter("agatefield.callers.errors." + failure.kind().code()).inc();
    if (failure.kind() == ErrorKind.INTERNAL) {
      LOGGER.error("unexpected fault path={}", context.request().path(), failure);
    }
    return ErrorAnswer.send(context.response(), failure);
  }

  private static AgatefieldException notFound(RoutingContext context) {
    return new AgatefieldException(
        ErrorKind.NOT_FOUND,
        "no interface at " + context.request().method() + " " + context.request().path());
  }

  private static AgatefieldException malformed(RoutingContext context) {
    return new AgatefieldException(
        ErrorKind.INVALID_REQUEST, "the path is malformed: " + context.request().uri());
  }

  private static AgatefieldException fault(RoutingContext context) {
    return AgatefieldException.from(
        context.failure() == null ? new IllegalStateException("no cause") : context.failure());
  }
}
