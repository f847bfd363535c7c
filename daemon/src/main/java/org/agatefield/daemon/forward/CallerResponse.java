package org.agatefield.daemon.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.impl.HttpServerConnection;
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

  private static final int MAXIMUM_UNREAD_STREAM_BYTES = 65_536;

  private final HttpServerRequest request;
  private final ForwardingContext context;
  private final UnwrittenResponses.Share unwritten;
  private Buffer unsentEvents = Buffer.buffer();

  /** Creates the response to a request that is answered by this daemon itself. */
  CallerResponse(HttpServerRequest request, ForwardingContext context) {
    this(request, context, "", Long.MAX_VALUE, () -> {});
  }

  /**
   * Creates the response to a request.
   *
   * @param deadline when the caller stops waiting, in monotonic milliseconds
   * @param onDrained called whenever the caller has read all that was written
   */
  CallerResponse(
      HttpServerRequest request,
      ForwardingContext context,
      String requestId,
      long deadline,
      Runnable onDrained) {
    this.request = request;
    this.context = context;
    this.unwritten =
        context.unwritten().share(new CallerConnection(request, onDrained), requestId, deadline);
  }

  /** The connection on which the response is written. Immutable. */
  private record CallerConnection(HttpServerRequest request, Runnable onDrained)
      implements UnwrittenResponses.Connection {
    @Override
    public void close() {
      // The usual close waits until the caller has read all that was written.
      if (request.connection() instanceof HttpServerConnection connection) {
        connection.channelHandlerContext().close();
      } else {
        request.connection().close();
      }
    }

    @Override
    public void drained() {
      onDrained.run();
    }
  }

  void respond(UpstreamResponse answer) {
    HttpServerResponse response = startResponse(answer);
    end(response, answer.body());
  }

  /** Returns whether the caller has to read before more is written. */
  boolean isFull() {
    return unwritten.isFull(MAXIMUM_UNREAD_STREAM_BYTES);
  }

  private void end(HttpServerResponse response, Buffer body) {
    unwritten.addLast(body.length(), response.end(body));
  }

  private void end(HttpServerResponse response, String message) {
    end(response, Buffer.buffer(message));
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
    unwritten.add(events.length(), request.response().write(events));
  }

  void endStream() {
    flush();
    end(request.response(), Buffer.buffer());
  }

  /** Closes the connection, so that the caller detects that the response is incomplete. */
  void abort() {
    flush();
    if (unwritten.isDrained()) {
      request.connection().close();
    } else {
      unwritten.close();
    }
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
    end(response, reason.name().toLowerCase(Locale.ROOT));
  }

  void fail(FailureReason reason) {
    int status =
        switch (reason) {
          case DEADLINE -> GATEWAY_TIMEOUT;
          case RUNNER_FAILED -> BAD_GATEWAY;
          case INTERNAL_ERROR -> INTERNAL_SERVER_ERROR;
        };
    end(startErrorResponse(status), reason.name().toLowerCase(Locale.ROOT));
  }

  /** Responds with an error status of this daemon about the request itself. */
  void reject(int status, String message) {
    end(startErrorResponse(status), message);
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
