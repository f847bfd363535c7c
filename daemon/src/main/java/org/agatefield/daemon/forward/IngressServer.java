package org.agatefield.daemon.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.agatefield.daemon.core.RequestTarget;
import org.agatefield.forwarding.AccountTable;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.RefusalReason;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.forwarding.Route;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Receives requests of callers, reads their bodies and starts a {@link RequestExchange} for each.
 *
 * <p>What requests hold is bounded by the guard of their connections. Confined to one event loop.
 */
final class IngressServer {
  private static final Logger LOGGER = LogManager.getLogger(IngressServer.class);
  private static final long NO_CONFIGURATION_RETRY_MILLISECONDS = 300;
  // Any other instance accepts the request immediately.
  private static final long LEAVING_RETRY_MILLISECONDS = 20;
  // Another instance may be able to handle the request.
  private static final long ERROR_RETRY_MILLISECONDS = 300;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int BODY_TOO_LARGE = 413;

  private final ForwardingContext context;
  private volatile int open; // Written by the event loop only.

  IngressServer(ForwardingContext context) {
    this.context = context;
  }

  /** Returns the number of requests without a response. */
  int open() {
    return open;
  }

  void handle(HttpServerRequest request) {
    open++;
    request.response().endHandler(ended -> open--);
    new BodyReader(request).start();
  }

  private IngressLimits limits() {
    return context.table().get().map(ForwardingTable::limits).orElse(IngressLimits.DEFAULTS);
  }

  private void handleBody(
      HttpServerRequest request,
      Buffer content,
      RequestFingerprint.BodyDigest bodyDigest,
      long arrivedAt) {
    CallerResponse response = new CallerResponse(request, context);
    Optional<ForwardingTable> table = context.table().get();
    if (table.isEmpty()) {
      refuse(request, response, RefusalReason.NO_CONFIGURATION);
      return;
    }
    if (context.stop().isRefusing()) {
      refuse(request, response, RefusalReason.SHUTTING_DOWN);
      return;
    }
    RequestMetadata terms = context.dialect().callers().requestTerms(request.headers());
    String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
    Optional<Route> route = table.get().match(host, request.path());
    if (route.isEmpty()) {
      LOGGER.info(
          "request={} host={} path={} outcome=no_route config={}",
          terms.id(),
          host,
          request.path(),
          table.get().version());
      response.reject(NOT_FOUND, "no route for this host and path");
      return;
    }
    if (terms.id().isEmpty()) {
      response.reject(BAD_REQUEST, "the request has no identifier");
      return;
    }
    Optional<String> target = RequestTarget.forwardable(request.uri());
    if (target.isEmpty()) {
      LOGGER.info("request={} route={} outcome=odd_target", terms.id(), route.get().name());
      response.reject(BAD_REQUEST, "the path and query must be ASCII or UTF-8");
      return;
    }
    AccountTable accounts = table.get().accounts();
    Optional<ClientAccount> account = terms.key().flatMap(accounts::accountFor);
    if (account.isEmpty() && accounts.requiresKeys() && !route.get().open()) {
      LOGGER.info(
          "request={} route={} outcome=unknown_key with_key={} config={}",
          terms.id(),
          route.get().name(),
          terms.key().isPresent(),
          table.get().version());
      context.metrics().refused(RefusalReason.UNKNOWN_KEY.name());
      response.refuse(RefusalReason.UNKNOWN_KEY, 0);
      return;
    }
    new RequestExchange(
            context,
            request,
            new RequestExchange.AdmittedRequest(
                table.get(), route.get(), account, terms, target.get(), bodyDigest),
            content,
            arrivedAt,
            ThreadLocalRandom.current().nextDouble())
        .start();
  }

  private void refuse(HttpServerRequest request, CallerResponse response, RefusalReason reason) {
    long retryMilliseconds =
        reason == RefusalReason.SHUTTING_DOWN
            ? LEAVING_RETRY_MILLISECONDS
            : NO_CONFIGURATION_RETRY_MILLISECONDS;
    String id = context.dialect().callers().requestTerms(request.headers()).id();
    LOGGER.info("request={} outcome=refused_{}", id, reason);
    context.metrics().refused(reason.name());
    response.refuse(reason, CallerResponse.jittered(retryMilliseconds));
  }

  /** Reads one request body within the limits. */
  private final class BodyReader {
    private final HttpServerRequest request;
    private final long arrivedAt = context.delay().earliestArrival(MonotonicClock.milliseconds());
    private final Buffer content = Buffer.buffer();
    private final RequestFingerprint.BodyDigest bodyDigest = new RequestFingerprint.BodyDigest();
    private boolean done;

    BodyReader(HttpServerRequest request) {
      this.request = request;
    }

    void start() {
      request.exceptionHandler(cause -> done = true);
      request.handler(bytes -> refuseOnError(() -> read(bytes)));
      request.endHandler(ended -> refuseOnError(this::complete));
    }

    /** Refuses the request if a step fails before an exchange has taken it over. */
    private void refuseOnError(Runnable step) {
      try {
        step.run();
      } catch (RuntimeException exception) {
        done = true;
        LOGGER.error(
            "path={} outcome=refused_{}", request.path(), RefusalReason.INTERNAL_ERROR, exception);
        context.metrics().internalError();
        response()
            .refuse(
                RefusalReason.INTERNAL_ERROR, CallerResponse.jittered(ERROR_RETRY_MILLISECONDS));
      }
    }

    private void read(Buffer bytes) {
      if (done) {
        return;
      }
      if (content.length() + bytes.length() > limits().bodyBytes()) {
        done = true;
        response().reject(BODY_TOO_LARGE, "the body is larger than allowed");
        return;
      }
      content.appendBuffer(bytes);
      bodyDigest.update(bytes.getBytes());
    }

    private void complete() {
      if (done) {
        return;
      }
      done = true;
      handleBody(request, content, bodyDigest, arrivedAt);
    }

    private CallerResponse response() {
      return new CallerResponse(request, context);
    }
  }
}
