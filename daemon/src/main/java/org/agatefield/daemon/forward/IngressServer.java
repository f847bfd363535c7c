package org.agatefield.daemon.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.agatefield.forwarding.AccountTable;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.RefusalReason;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.forwarding.Route;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Takes requests of callers, reads their bodies and begins an exchange for each.
 *
 * <p>Invariant: the bodies that are held at once stay within {@link #HELD_BYTES}. Confined to one
 * event loop.
 */
final class IngressServer {
  private static final Logger LOGGER = LogManager.getLogger(IngressServer.class);
  private static final long HELD_BYTES = 48L * 1_048_576; // a quarter of the usual heap
  private static final long NO_CONFIGURATION_RETURN_MILLISECONDS = 300;
  private static final long LEAVING_RETURN_MILLISECONDS = 20; // any other instance takes it now
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int BODY_TOO_LARGE = 413;

  private final ForwardingContext parts;
  private long heldBytes;
  private int open;

  IngressServer(ForwardingContext parts) {
    this.parts = parts;
  }

  /** Returns the requests that are not answered yet. */
  int open() {
    return open;
  }

  void handle(HttpServerRequest request) {
    open++;
    request.response().endHandler(ended -> open--);
    new BodyReading(request).start();
  }

  private IngressLimits limits() {
    return parts.table().get().map(ForwardingTable::limits).orElse(IngressLimits.DEFAULTS);
  }

  private void received(HttpServerRequest request, Buffer content, long arrivedAt) {
    CallerResponse response = new CallerResponse(request, parts.headers(), parts.leaving());
    Optional<ForwardingTable> table = parts.table().get();
    if (table.isEmpty()) {
      refuse(request, response, RefusalReason.NO_CONFIGURATION);
      return;
    }
    if (parts.refusing().getAsBoolean()) {
      refuse(request, response, RefusalReason.SHUTTING_DOWN);
      return;
    }
    RequestMetadata terms = parts.dialect().callers().requestTerms(request.headers());
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
    AccountTable accounts = table.get().accounts();
    Optional<ClientAccount> account = terms.key().flatMap(accounts::accountFor);
    if (account.isEmpty() && accounts.requiresKeys() && !route.get().open()) {
      LOGGER.info(
          "request={} route={} outcome=unknown_key with_key={} config={}",
          terms.id(),
          route.get().name(),
          terms.key().isPresent(),
          table.get().version());
      parts.metrics().refused(RefusalReason.UNKNOWN_KEY.name());
      response.refuse(RefusalReason.UNKNOWN_KEY, 0);
      return;
    }
    new RequestExchange(
            parts,
            request,
            new RequestExchange.Admitted(table.get(), route.get(), account, terms),
            content,
            arrivedAt,
            ThreadLocalRandom.current().nextDouble())
        .start();
  }

  private void refuse(HttpServerRequest request, CallerResponse response, RefusalReason reason) {
    long middle =
        reason == RefusalReason.SHUTTING_DOWN
            ? LEAVING_RETURN_MILLISECONDS
            : NO_CONFIGURATION_RETURN_MILLISECONDS;
    String id = parts.dialect().callers().requestTerms(request.headers()).id();
    LOGGER.info("request={} outcome=refused_{}", id, reason);
    parts.metrics().refused(reason.name());
    response.refuse(reason, CallerResponse.spread(middle));
  }

  /** Reads one body within the limits. */
  private final class BodyReading {
    private final HttpServerRequest request;
    private final long arrivedAt = parts.delay().earliestArrival(MonotonicClock.milliseconds());
    private final Buffer content = Buffer.buffer();
    private boolean over;
    private long held;

    BodyReading(HttpServerRequest request) {
      this.request = request;
    }

    void start() {
      request.exceptionHandler(cause -> release());
      request.response().closeHandler(closed -> release());
      request.handler(this::read);
      request.endHandler(ended -> complete());
    }

    private void read(Buffer bytes) {
      if (over) {
        return;
      }
      if (content.length() + bytes.length() > limits().bodyBytes()) {
        giveUp(() -> response().reject(BODY_TOO_LARGE, "the body is larger than allowed"));
        return;
      }
      if (heldBytes + bytes.length() > HELD_BYTES) {
        giveUp(() -> refuse(request, response(), RefusalReason.MEMORY));
        return;
      }
      held += bytes.length();
      heldBytes += bytes.length();
      content.appendBuffer(bytes);
    }

    private void complete() {
      if (over) {
        return;
      }
      over = true;
      request.response().endHandler(ended -> finished());
      received(request, content, arrivedAt);
    }

    private void giveUp(Runnable answer) {
      over = true;
      answer.run();
      release();
    }

    private void finished() {
      open--;
      release();
    }

    private void release() {
      heldBytes -= held;
      held = 0;
    }

    private CallerResponse response() {
      return new CallerResponse(request, parts.headers(), parts.leaving());
    }
  }
}
