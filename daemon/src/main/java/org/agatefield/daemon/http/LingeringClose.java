package org.agatefield.daemon.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;

/**
 * Ends connections on which a request was answered before it was read whole.
 *
 * <p>What the caller still sends is thrown away for a while first: a connection that is closed with
 * unread bytes is reset, and the caller might lose the answer. A connection of HTTP/2 stays open,
 * since other requests use it. Stateless.
 */
final class LingeringClose {
  private static final long LINGER_MILLISECONDS = 10_000;

  private LingeringClose() {}

  /** Closes the connection of a request once the request has ended or time is up. */
  static void begin(Vertx vertx, HttpServerRequest request) {
    if (request.version() == HttpVersion.HTTP_2) {
      request.handler(ignored -> {});
      return;
    }
    long timer = vertx.setTimer(LINGER_MILLISECONDS, ignored -> request.connection().close());
    if (request.isEnded()) {
      return;
    }
    request.handler(ignored -> {});
    request.endHandler(ignored -> closeAfterAnswer(vertx, request, timer));
    request.exceptionHandler(ignored -> vertx.cancelTimer(timer));
  }

  private static void closeAfterAnswer(Vertx vertx, HttpServerRequest request, long timer) {
    if (request.response().ended()) {
      vertx.cancelTimer(timer);
      request.connection().close();
    }
  }
}
