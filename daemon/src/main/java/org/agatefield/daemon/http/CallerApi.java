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

  private final CallerApiDependencies dependencies;
  private final CallerAuthenticator authenticator;
  private final BodyReader bodies;
  private final GenerationHandler generations;
  private final ServiceHandler services;
  private final DirectoryHandler directory;
  private final Meter requests;
  private final String requestIdPrefix = UUID.randomUUID().toString().substring(0, 13);
  private final AtomicLong nextRequest = new AtomicLong(1);

  /** Creates the interface; it serves once it is mounted. */
  public CallerApi(CallerApiDependencies dependencies) {
    this.dependencies = dependencies;
    this.authenticator = new CallerAuthenticator(dependencies.configuration());
    this.bodies =
        new BodyReader(
            dependencies.vertx(),
            dependencies.limits().bodyBytes(),
            dependencies.limits().queuedBytes());
    this.generations = new GenerationHandler(dependencies);
    this.services = new ServiceHandler(dependencies);
    this.directory = new DirectoryHandler(dependencies);
    this.requests = dependencies.metrics().meter("agatefield.callers.requests");
    dependencies
        .metrics()
        .gauge("agatefield.callers.held-bytes", () -> (Gauge<Long>) bodies::bufferedBytes);
    dependencies
        .metrics()
        .gauge(
            "agatefield.callers.running", () -> (Gauge<Integer>) dependencies.shutdown()::running);
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
     * @param onCompletion called once when nothing of the request runs any more
     * @throws AgatefieldException if the request is refused; {@code onCompletion} is not called
     *     then
     */
    void handle(
        RoutingContext context, RequestAttributes terms, Buffer body, Runnable onCompletion);
  }

  private void serve(RoutingContext context, BodyHandler handler) {
    requests.mark();
    HttpServerRequest request = context.request();
    String requestId = requestIdPrefix + "-" + nextRequest.getAndIncrement();
    context.response().putHeader("X-Request-Id", requestId);
    if (!dependencies.shutdown().tryBeginRequest()) {
      refuse(
          context,
          new AgatefieldException(ErrorKind.SHUTTING_DOWN, "this instance is shutting down"));
      return;
    }
    Runnable requestCompletion = dependencies.shutdown().requestCompletion();
    RequestAttributes terms;
    try {
      terms =
          RequestAttributes.read(
              request,
              requestId,
              authenticator.authenticate(request),
              dependencies.limits().defaultDeadline());
    } catch (AgatefieldException failure) {
      refuse(context, failure).onComplete(ignored -> requestCompletion.run());
      return;
    }
    bodies
        .read(request)
        .onSuccess(body -> serve(context, handler, terms, body, requestCompletion))
        .onFailure(
            failure ->
                refuse(context, AgatefieldException.from(failure))
                    .onComplete(ignored -> requestCompletion.run()));
  }

  private void serve(
      RoutingContext context,
      BodyHandler handler,
      RequestAttributes terms,
      Buffer body,
      Runnable requestCompletion) {
    int length = body.length();
    Runnable onCompletion =
        () -> {
          bodies.release(length);
          requestCompletion.run();
        };
    try {
      handler.handle(context, terms, body, onCompletion);
    } catch (AgatefieldException failure) {
      refuse(context, failure).onComplete(ignored -> onCompletion.run());
    } catch (RuntimeException exception) {
      refuse(context, AgatefieldException.from(exception))
          .onComplete(ignored -> onCompletion.run());
    }
  }

  private Handler<RoutingContext> guarded(Handler<RoutingContext> handler) {
    return context -> {
      try {
        authenticator.authenticate(context.request());
        handler.handle(context);
      } catch (AgatefieldException failure) {
        refuse(context, failure);
      }
    };
  }

  private Future<Void> refuse(RoutingContext context, AgatefieldException failure) {
    dependencies.metrics().counter("agatefield.callers.errors." + failure.kind().code()).inc();
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
