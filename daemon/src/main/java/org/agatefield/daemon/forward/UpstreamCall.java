package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.agatefield.daemon.forward.wire.ResponseKind;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.forwarding.EventStreamSplitter;
import org.agatefield.forwarding.RunnerEntry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Performs one attempt of a request at one runner, on a dedicated connection.
 *
 * <p>Invariants: exactly one of {@link Listener#withdrawn}, {@link Listener#connectFailed}, {@link
 * Listener#rejected}, {@link Listener#failed}, {@link Listener#disconnected}, {@link
 * Listener#responseReceived} and {@link Listener#streamEnded} is called, unless the call is
 * cancelled first; nothing is called after that or after {@link #cancel()}, but for {@link
 * Listener#handlingFailed} if that call itself throws an exception. After the connection opens,
 * sockets are read once more before the request is sent, so that a disconnect of the caller is
 * noticed. A response is read in pieces with other work of the event loop between them, and one
 * whose comments no event follows is broken off. Confined to one event loop.
 */
final class UpstreamCall {
  private static final Logger LOGGER = LogManager.getLogger(UpstreamCall.class);
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int MAXIMUM_INTERIM_RESPONSES = 8; // Usually there is one.
  private static final int MAXIMUM_COMMENT_BYTES = 65_536; // A keep-alive takes some ten bytes.

  private static final long NEXT_TURN_MILLISECONDS = 1; // Timers fire after sockets have been read.

  private final Vertx vertx;
  private final EventLoopDelay delay;
  private final RunnerDialect dialect;
  private final String requestId;
  private final Listener listener;
  private final ResponseMemory.Share memory;
  private final UnwrittenResponses unwritten;
  private final EventStreamSplitter splitter = new EventStreamSplitter();
  private final Buffer body = Buffer.buffer();
  private HttpClientRequest request;
  private boolean finished;
  private int interimResponses;
  private UpstreamResponse head;
  private boolean stream;
  private Optional<ReadPauses> pauses = Optional.empty();
  private int commentBytes;
  private ResponseKind kind = ResponseKind.UNUSABLE;

  /** Receives the outcome of the call on the event loop. */
  interface Listener {
    /** Returns whether the request should still be sent now that the connection is open. */
    boolean shouldSend();

    /**
     * Called when the request was not sent because it was no longer needed when the connection
     * opened.
     */
    void withdrawn();

    /** Called when no connection could be opened. */
    void connectFailed(String cause);

    /** Called with the response head, whatever its status and kind. */
    void headReceived(ResponseKind kind, UpstreamResponse head);

    /** Called when the runner has not run the request and never will. */
    void rejected(ResponseKind kind, UpstreamResponse response);

    /** Called when the request may have run; the response is present if it can be forwarded. */
    void failed(String cause, Optional<UpstreamResponse> response);

    /**
     * Called when the connection was closed or reset before the response was complete; the request
     * may have run.
     */
    void disconnected(String cause);

    /** Called with a complete successful response. */
    void responseReceived(UpstreamResponse response);

    /** Called with a complete event of a stream. */
    void eventReceived(UpstreamResponse head, EventStreamSplitter.Event event);

    /** Called after the last event of the bytes that were read together. */
    void eventsRead();

    /** Called when an event after the last outcome could not be handled. */
    void handlingFailed(RuntimeException exception);

    /** Called when a stream has ended as the protocol requires. */
    void streamEnded(UpstreamResponse head);
  }

  UpstreamCall(
      Vertx vertx,
      EventLoopDelay delay,
      ResponseMemory.Share memory,
      UnwrittenResponses unwritten,
      RunnerDialect dialect,
      String requestId,
      Listener listener) {
    this.vertx = vertx;
    this.delay = delay;
    this.memory = memory;
    this.unwritten = unwritten;
    this.dialect = dialect;
    this.requestId = requestId;
    this.listener = listener;
  }

  /**
   * Opens a connection and sends the request.
   *
   * @param headers evaluated when the request is sent, as they include the remaining time
   */
  void start(
      HttpClient client,
      RunnerEntry runner,
      HttpMethod method,
      String uri,
      Supplier<MultiMap> headers,
      Buffer content) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(runner.address().host())
            .setPort(runner.address().port())
            .setURI(uri);
    client
        .request(options)
        .onSuccess(opened -> opened(opened, headers, content))
        .onFailure(
            cause -> {
              if (end()) {
                guard(() -> listener.connectFailed(String.valueOf(cause.getMessage())));
              }
            });
  }

  /** Closes the connection, which makes the runner stop. */
  void cancel() {
    end();
    if (request != null) {
      request.reset();
    }
  }

  /** Stops reading the response, so that the runner has to wait. */
  void pause(ReadPauses.Reason reason) {
    pauses.ifPresent(each -> each.pause(reason));
  }

  /** Goes on reading the response unless it is paused for another reason. */
  void resume(ReadPauses.Reason reason) {
    pauses.ifPresent(each -> each.resume(reason));
  }

  /** Returns whether the response is not read at present, whatever the runner sends. */
  boolean isPaused() {
    return pauses.map(ReadPauses::isPaused).orElse(false);
  }

  private void opened(HttpClientRequest opened, Supplier<MultiMap> headers, Buffer content) {
    request = opened;
    vertx.runOnContext(
        sockets -> {
          if (delay.isBehind(MonotonicClock.milliseconds())) {
            vertx.setTimer(
                NEXT_TURN_MILLISECONDS, fired -> guard(() -> send(opened, headers, content)));
          } else {
            guard(() -> send(opened, headers, content));
          }
        });
  }

  /**
   * Handles an event; an exception ends the call, so that the request does not wait for it. The
   * attempt counts as failed, as what the runner sent may be the cause.
   */
  private void guard(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException exception) {
      if (finished) {
        listener.handlingFailed(exception);
      } else {
        LOGGER.error("request={} event of an attempt failed", requestId, exception);
        abortAfterError(exception);
      }
    }
  }

  private void abortAfterError(RuntimeException exception) {
    try {
      abort(exception);
    } catch (RuntimeException again) {
      listener.handlingFailed(again);
    }
  }

  private void send(HttpClientRequest opened, Supplier<MultiMap> headers, Buffer content) {
    if (finished) {
      opened.reset();
      return;
    }
    if (!listener.shouldSend()) {
      end();
      opened.reset();
      listener.withdrawn();
      return;
    }
    opened.headers().setAll(headers.get());
    opened.exceptionHandler(cause -> guard(() -> abort(cause)));
    opened.continueHandler(interim -> guard(this::countInterimResponse));
    opened.earlyHintsHandler(interim -> guard(this::countInterimResponse));
    opened
        .response()
        .onSuccess(response -> guard(() -> receive(response)))
        .onFailure(cause -> guard(() -> abort(cause)));
    opened.end(content).onFailure(cause -> guard(() -> abort(cause)));
  }

  private void receive(HttpClientResponse response) {
    if (finished) {
      return;
    }
    response.exceptionHandler(cause -> guard(() -> abort(cause)));
    head = new UpstreamResponse(response.statusCode(), response.headers(), body);
    kind = dialect.responseKind(response.statusCode(), response.headers(), requestId);
    listener.headReceived(kind, head);
    if (kind == ResponseKind.UNUSABLE) {
      failUnusable(response);
      return;
    }
    if (kind == ResponseKind.REJECTED || kind == ResponseKind.MISDIRECTED) {
      reject(); // The head suffices; the body may be endless.
      return;
    }
    String contentType = response.getHeader("Content-Type");
    stream =
        kind == ResponseKind.SUCCESS
            && contentType != null
            && contentType.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    pauses = Optional.of(new ReadPauses(vertx, response));
    response.handler(bytes -> guard(() -> read(bytes)));
    response.endHandler(ended -> guard(this::complete));
  }

  private void failUnusable(HttpClientResponse response) {
    if (end()) {
      request.reset();
      listener.failed("unusable response status=" + response.statusCode(), Optional.empty());
    }
  }

  private void reject() {
    if (end()) {
      request.reset();
      listener.rejected(kind, head);
    }
  }

  private void read(Buffer bytes) {
    if (finished) {
      return;
    }
    pauses.ifPresent(each -> each.bytesRead(bytes.length()));
    if (stream) {
      try {
        splitter.feed(bytes.getBytes()).forEach(this::passOn);
      } finally {
        listener.eventsRead();
      }
      checkMemory(splitter.remainingBytes());
      return;
    }
    body.appendBuffer(bytes);
    checkMemory(body.length());
    if (body.length() > ResponseMemory.USUAL_RESPONSE_BYTES && unwritten.isFull()) {
      pause(ReadPauses.Reason.MEMORY);
      unwritten.whenRoom(() -> resume(ReadPauses.Reason.MEMORY));
    }
  }

  private void passOn(EventStreamSplitter.Event event) {
    if (finished) {
      return;
    }
    listener.eventReceived(head, event);
    commentBytes = event.empty() ? commentBytes + event.bytes().length : 0;
    if (!finished && commentBytes > MAXIMUM_COMMENT_BYTES) {
      abort(new IllegalStateException("comments without an event"));
    }
  }

  private void countInterimResponse() {
    interimResponses++;
    if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
      abort(new IllegalStateException("too many interim responses"));
    }
  }

  /** Fails the call if its response exceeds the available memory. */
  private void checkMemory(int bytes) {
    if (!finished && !memory.reserve(bytes)) {
      abort(new IllegalStateException("response too large"));
    }
  }

  private void complete() {
    if (!end()) {
      return;
    }
    if (kind == ResponseKind.SUCCESS) {
      succeed();
    } else {
      listener.failed("status " + head.status(), Optional.of(head));
    }
  }

  private void succeed() {
    if (!stream) {
      listener.responseReceived(head);
    } else if (splitter.remainingBytes() > 0) {
      listener.disconnected("stream ended within an event");
    } else {
      listener.streamEnded(head);
    }
  }

  private void abort(Throwable cause) {
    if (!end()) {
      return;
    }
    request.reset();
    if (cause instanceof IOException || cause instanceof HttpClosedException) {
      listener.disconnected(String.valueOf(cause.getMessage()));
    } else {
      listener.failed("broken off: " + cause.getMessage(), Optional.empty());
    }
  }

  private boolean end() {
    final boolean first = !finished;
    finished = true;
    pauses.ifPresent(ReadPauses::close);
    memory.release();
    return first;
  }
}
