package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
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

/**
 * One attempt of a request at one runner, on a connection of its own.
 *
 * <p>Invariants: exactly one of {@link Listener#withdrawn}, {@link Listener#unreached}, {@link
 * Listener#rejected}, {@link Listener#failed}, {@link Listener#answered} and {@link Listener#ended}
 * is called, unless the call is cancelled first; nothing is called after that or after {@link
 * #cancel()}. A request is sent only after the sockets were read once more since its connection
 * opened, so that a caller who has left meanwhile is noticed. Confined to one event loop.
 */
final class UpstreamCall {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int MOST_INTERIM_ANSWERS = 8; // one is usual

  private static final long NEXT_TURN_MILLISECONDS = 1; // a timer fires after sockets were read

  private final Vertx vertx;
  private final EventLoopDelay delay;
  private final RunnerDialect dialect;
  private final String requestId;
  private final Listener listener;
  private final ResponseMemory.Share memory;
  private final EventStreamSplitter splitter = new EventStreamSplitter();
  private final Buffer body = Buffer.buffer();
  private HttpClientRequest request;
  private boolean over;
  private int interimAnswers;
  private UpstreamResponse head;
  private boolean stream;
  private ResponseKind kind = ResponseKind.UNUSABLE;

  /** Told what comes of the call, on the event loop. */
  interface Listener {
    /** Returns whether the request is still to be sent, now that a connection is open. */
    boolean isWanted();

    /** Nothing was sent, as the request was not wanted any more when a connection was open. */
    void withdrawn();

    /** No connection came about. */
    void unreached(String cause);

    /** The head of an answer came, whatever it answers. */
    void headReceived(UpstreamResponse head);

    /** The runner did not run the request and never will. */
    void rejected(ResponseKind kind, UpstreamResponse answer);

    /** The request may have run; the answer is there if it can be passed on. */
    void failed(String cause, Optional<UpstreamResponse> answer);

    /** A whole answer with success came. */
    void answered(UpstreamResponse answer);

    /** A whole event of a stream came. */
    void event(UpstreamResponse head, EventStreamSplitter.Event event);

    /** A stream ended as the protocol says. */
    void ended(UpstreamResponse head);
  }

  UpstreamCall(
      Vertx vertx,
      EventLoopDelay delay,
      ResponseMemory.Share memory,
      RunnerDialect dialect,
      String requestId,
      Listener listener) {
    this.vertx = vertx;
    this.delay = delay;
    this.memory = memory;
    this.dialect = dialect;
    this.requestId = requestId;
    this.listener = listener;
  }

  /**
   * Opens a connection and sends the request.
   *
   * @param headers asked for when the request is sent, as they tell the time that is left
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
                listener.unreached(String.valueOf(cause.getMessage()));
              }
            });
  }

  /** Makes the runner stop by closing the connection. */
  void cancel() {
    end();
    if (request != null) {
      request.reset();
    }
  }

  private void opened(HttpClientRequest opened, Supplier<MultiMap> headers, Buffer content) {
    request = opened;
    vertx.runOnContext(
        sockets -> {
          if (delay.isBehind(MonotonicClock.milliseconds())) {
            vertx.setTimer(NEXT_TURN_MILLISECONDS, fired -> send(opened, headers, content));
          } else {
            send(opened, headers, content);
          }
        });
  }

  private void send(HttpClientRequest opened, Supplier<MultiMap> headers, Buffer content) {
    if (over) {
      opened.reset();
      return;
    }
    if (!listener.isWanted()) {
      end();
      opened.reset();
      listener.withdrawn();
      return;
    }
    opened.headers().setAll(headers.get());
    opened.exceptionHandler(this::broken);
    opened.continueHandler(interim -> interim());
    opened.earlyHintsHandler(interim -> interim());
    opened.response().onSuccess(this::receive).onFailure(this::broken);
    opened.end(content).onFailure(this::broken);
  }

  private void receive(HttpClientResponse response) {
    if (over) {
      return;
    }
    response.exceptionHandler(this::broken);
    head = new UpstreamResponse(response.statusCode(), response.headers(), body);
    kind = dialect.responseKind(response.statusCode(), response.headers(), requestId);
    listener.headReceived(head);
    if (kind == ResponseKind.UNUSABLE) {
      unusable(response);
      return;
    }
    if (kind == ResponseKind.REJECTED || kind == ResponseKind.MISDIRECTED) {
      reject(); // the head says all; a body may have no end
      return;
    }
    String contentType = response.getHeader("Content-Type");
    stream =
        kind == ResponseKind.SUCCESS
            && contentType != null
            && contentType.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    response.handler(this::read);
    response.endHandler(ended -> complete());
  }

  private void unusable(HttpClientResponse response) {
    if (end()) {
      request.reset();
      listener.failed("unusable answer status=" + response.statusCode(), Optional.empty());
    }
  }

  private void reject() {
    if (end()) {
      request.reset();
      listener.rejected(kind, head);
    }
  }

  private void read(Buffer bytes) {
    if (over) {
      return;
    }
    if (stream) {
      for (EventStreamSplitter.Event event : splitter.feed(bytes.getBytes())) {
        if (!over) {
          listener.event(head, event);
        }
      }
      hold(splitter.remainingBytes());
      return;
    }
    body.appendBuffer(bytes);
    hold(body.length());
  }

  private void interim() {
    interimAnswers++;
    if (interimAnswers > MOST_INTERIM_ANSWERS) {
      broken(new IOException("too many interim answers"));
    }
  }

  /** Gives an answer up that grows beyond the memory that there is for it. */
  private void hold(int bytes) {
    if (!over && !memory.hold(bytes)) {
      broken(new IOException("answer too large"));
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
      listener.answered(head);
    } else if (splitter.remainingBytes() > 0) {
      listener.failed("stream ended within an event", Optional.empty());
    } else {
      listener.ended(head);
    }
  }

  private void broken(Throwable cause) {
    if (!end()) {
      return;
    }
    request.reset();
    listener.failed("broken off: " + cause.getMessage(), Optional.empty());
  }

  private boolean end() {
    boolean first = !over;
    over = true;
    memory.release();
    return first;
  }
}
