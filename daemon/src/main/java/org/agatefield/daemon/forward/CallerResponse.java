package org.agatefield.daemon.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.agatefield.forwarding.FailureReason;
import org.agatefield.forwarding.RefusalReason;

/**
 * Writes the answer to one request.
 *
 * <p>Invariant: an answer that is not whole never looks complete. Confined to one event loop.
 */
final class CallerResponse {
  private static final int UNAUTHORIZED = 401;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private final HttpServerRequest request;
  private final HeaderRules headers;
  private final BooleanSupplier leaving;

  CallerResponse(HttpServerRequest request, HeaderRules headers, BooleanSupplier leaving) {
    this.request = request;
    this.headers = headers;
    this.leaving = leaving;
  }

  void deliver(UpstreamResponse answer) {
    HttpServerResponse response = begin(answer);
    response.end(answer.body());
  }

  void beginStream(UpstreamResponse head, byte[] event) {
    HttpServerResponse response = begin(head);
    response.setChunked(true);
    response.write(Buffer.buffer(event));
  }

  void continueStream(byte[] event) {
    request.response().write(Buffer.buffer(event));
  }

  void endStream() {
    request.response().end();
  }

  /** Closes the connection, so that the caller sees that the answer is not complete. */
  void abort() {
    request.connection().close();
  }

  /**
   * Answers that the request has not run.
   *
   * @param retryAfterMilliseconds when to come back
   */
  void refuse(RefusalReason reason, long retryAfterMilliseconds) {
    String seconds = String.format(Locale.ROOT, "%.2f", retryAfterMilliseconds / 1_000.0);
    int status =
        switch (reason) {
          case UNKNOWN_KEY -> UNAUTHORIZED;
          case OVER_QUOTA -> TOO_MANY_REQUESTS;
          default -> SERVICE_UNAVAILABLE;
        };
    HttpServerResponse response = own(status);
    if (reason != RefusalReason.UNKNOWN_KEY) {
      response.putHeader(HttpHeaders.RETRY_AFTER, seconds);
    }
    response.end(reason.name().toLowerCase(Locale.ROOT));
  }

  void fail(FailureReason reason) {
    int status = reason == FailureReason.DEADLINE ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    own(status).end(reason.name().toLowerCase(Locale.ROOT));
  }

  /** Answers with a status of our own that is about the request itself. */
  void reject(int status, String message) {
    own(status).end(message);
  }

  /** Returns a delay around a middle value, so that refused callers do not return together. */
  static long spread(long milliseconds) {
    return ThreadLocalRandom.current().nextLong(milliseconds / 2, milliseconds * 3 / 2 + 1);
  }

  private HttpServerResponse begin(UpstreamResponse answer) {
    HttpServerResponse response = request.response();
    response.setStatusCode(answer.status());
    headers.forCaller(answer.headers(), response.headers());
    markLeaving(response);
    return response;
  }

  private HttpServerResponse own(int status) {
    HttpServerResponse response = request.response();
    response.setStatusCode(status);
    response.putHeader(HttpHeaders.CONTENT_TYPE, "text/plain");
    markLeaving(response);
    return response;
  }

  private void markLeaving(HttpServerResponse response) {
    if (leaving.getAsBoolean()) {
      response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
    }
  }
}
