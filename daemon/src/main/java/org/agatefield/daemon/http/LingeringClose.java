package org.agatefield.daemon.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;

/**
 * Closes connections on which a request was answered before it was read completely.
 *
 * <p>Discards what the caller still sends for a limited time first: closing a connection with
 * unread bytes resets it, and the caller might lose the answer. HTTP/2 connections stay open, since
 * other requests share them. Stateless.
 */
final class LingeringClose {
  private static final long LINGER_MILLISECONDS = 10_000;

  private LingeringClose() {}

  /** Closes the connection of a request once the request has ended or the time limit has passed. */
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
