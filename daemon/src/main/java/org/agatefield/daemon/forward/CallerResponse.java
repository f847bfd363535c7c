package org.agatefield.daemon.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import org.agatefield.forwarding.FailureReason;
import org.agatefield.forwarding.RefusalReason;

/**
 * Writes the response to one request.
 *
 * <p>Invariants: an incomplete response never appears complete; events are written together at
 * {@link #flush()}, as each write costs far more than a short event, and at the latest before the
 * response ends. Confined to one event loop.
 */
final class CallerResponse {
  private static final int UNAUTHORIZED = 401;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private final HttpServerRequest request;
  private final ForwardingContext context;
  private Buffer unsentEvents = Buffer.buffer();

  CallerResponse(HttpServerRequest request, ForwardingContext context) {
    this.request = request;
    this.context = context;
  }

  void respond(UpstreamResponse answer) {
    HttpServerResponse response = startResponse(answer);
    context.unwritten().add(response.end(answer.body()));
  }

  void beginStream(UpstreamResponse head, byte[] event) {
    HttpServerResponse response = startResponse(head);
    response.setChunked(true);
    continueStream(event);
  }

  /** Adds an event, which is written at the next flush. */
  void continueStream(byte[] event) {
    unsentEvents.appendBytes(event);
  }

  /** Writes the events that were added since the last flush. */
  void flush() {
    if (unsentEvents.length() == 0) {
      return;
    }
    Buffer events = unsentEvents;
    unsentEvents = Buffer.buffer();
    request.response().write(events);
  }

  void endStream() {
    flush();
    context.unwritten().add(request.response().end());
  }

  /** Closes the connection, so that the caller detects that the response is incomplete. */
  void abort() {
    flush();
    request.connection().close();
  }

  /**
   * Responds that the request has not run.
   *
   * @param retryAfterMilliseconds when the caller should retry
   */
  void refuse(RefusalReason reason, long retryAfterMilliseconds) {
    String seconds = String.format(Locale.ROOT, "%.2f", retryAfterMilliseconds / 1_000.0);
    int status =
        switch (reason) {
          case UNKNOWN_KEY -> UNAUTHORIZED;
          case OVER_QUOTA -> TOO_MANY_REQUESTS;
          default -> SERVICE_UNAVAILABLE;
        };
    HttpServerResponse response = startErrorResponse(status);
    if (reason != RefusalReason.UNKNOWN_KEY) {
      response.putHeader(HttpHeaders.RETRY_AFTER, seconds);
    }
    context.unwritten().add(response.end(reason.name().toLowerCase(Locale.ROOT)));
  }

  void fail(FailureReason reason) {
    int status =
        switch (reason) {
          case DEADLINE -> GATEWAY_TIMEOUT;
          case RUNNER_FAILED -> BAD_GATEWAY;
          case INTERNAL_ERROR -> INTERNAL_SERVER_ERROR;
        };
    context.unwritten().add(startErrorResponse(status).end(reason.name().toLowerCase(Locale.ROOT)));
  }

  /** Responds with an error status of this daemon about the request itself. */
  void reject(int status, String message) {
    context.unwritten().add(startErrorResponse(status).end(message));
  }

  /**
   * Returns a random delay around the given one, so that refused callers do not all retry at the
   * same time.
   */
  static long jittered(long milliseconds) {
    return ThreadLocalRandom.current().nextLong(milliseconds / 2, milliseconds * 3 / 2 + 1);
  }

  private HttpServerResponse startResponse(UpstreamResponse answer) {
    HttpServerResponse response = request.response();
    response.setStatusCode(answer.status());
    context.headers().forCaller(answer.headers(), response.headers());
    markLeaving(response);
    return response;
  }

  private HttpServerResponse startErrorResponse(int status) {
    HttpServerResponse response = request.response();
    response.setStatusCode(status);
    response.putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
    markLeaving(response);
    return response;
  }

  private void markLeaving(HttpServerResponse response) {
    if (context.stop().isLeaving()) {
      response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
    }
  }
}
