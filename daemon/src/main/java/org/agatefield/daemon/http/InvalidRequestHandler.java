package org.agatefield.daemon.http;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * Rejects requests that the HTTP server could not parse: malformed ones and those with too large
 * headers.
 *
 * <p>Stateless.
 */
public final class InvalidRequestHandler implements Handler<HttpServerRequest> {
  /** Responds with the matching error kind and closes the connection. */
  @Override
  public void handle(HttpServerRequest request) {
    Throwable cause = request.decoderResult().cause();
    boolean tooLarge =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    ErrorKind kind = tooLarge ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.INVALID_REQUEST;
    String message = tooLarge ? "the request headers are too large" : "not a valid HTTP request";
    request.response().putHeader("Connection", "close");
    ErrorAnswer.send(request.response(), new AgatefieldException(kind, message, cause));
    LingeringClose.begin(Vertx.currentContext().owner(), request);
  }
}
