package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Locale;
import java.util.Optional;
import org.agatefield.daemon.forward.wire.AnswerKind;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.forwarding.EventStreamSplitter;
import org.agatefield.forwarding.RunnerEntry;

/**
 * One attempt of a request at one runner, on a connection of its own.
 *
 * <p>Invariants: exactly one of {@link Listener#unreached}, {@link Listener#rejected}, {@link
 * Listener#failed}, {@link Listener#answered} and {@link Listener#ended} is called, unless the call
 * is cancelled first; nothing is called after that or after {@link #cancel()}. Confined to one
 * event loop.
 */
final class UpstreamCall {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int MAXIMUM_ANSWER_BYTES = 16 * 1_048_576; // far beyond any usual answer

  private final RunnerDialect dialect;
  private final String requestId;
  private final Listener listener;
  private final EventStreamSplitter splitter = new EventStreamSplitter();
  private final Buffer body = Buffer.buffer();
  private HttpClientRequest request;
  private boolean over;
  private UpstreamAnswer head;
  private boolean stream;
  private AnswerKind kind = AnswerKind.UNUSABLE;

  /** Told what comes of the call, on the event loop. */
  interface Listener {
    /** No connection came about. */
    void unreached(String cause);

    /** The runner did not run the request and never will. */
    void rejected(AnswerKind kind, UpstreamAnswer answer);

    /** The request may have run; the answer is there if it can be passed on. */
    void failed(String cause, Optional<UpstreamAnswer> answer);

    /** A whole answer with success came. */
    void answered(UpstreamAnswer answer);

    /** A whole event of a stream came. */
    void event(UpstreamAnswer head, EventStreamSplitter.Event event);

    /** A stream ended as the protocol says. */
    void ended(UpstreamAnswer head);
  }

  UpstreamCall(RunnerDialect dialect, String requestId, Listener listener) {
    this.dialect = dialect;
    this.requestId = requestId;
    this.listener = listener;
  }

  void start(
      HttpClient client,
      RunnerEntry runner,
      HttpMethod method,
      String uri,
      MultiMap headers,
      Buffer content) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(runner.address().host())
            .setPort(runner.address().port())
            .setURI(uri);
    client
        .request(options)
        .onSuccess(opened -> send(opened, headers, content))
        .onFailure(
            cause -> {
              if (end()) {
                listener.unreached(String.valueOf(cause.getMessage()));
              }
            });
  }

  /** Makes the runner stop by closing the connection. */
  void cancel() {
    over = true;
    if (request != null) {
      request.reset();
    }
  }

  private void send(HttpClientRequest opened, MultiMap headers, Buffer content) {
    request = opened;
    if (over) {
      opened.reset();
      return;
    }
    opened.headers().setAll(headers);
    opened.exceptionHandler(this::broken);
    opened.response().onSuccess(this::receive).onFailure(this::broken);
    opened.end(content).onFailure(this::broken);
  }

  private void receive(HttpClientResponse response) {
    if (over) {
      return;
    }
    response.exceptionHandler(this::broken);
    head = new UpstreamAnswer(response.statusCode(), response.headers(), body);
    kind = dialect.answerKind(response.statusCode(), response.headers(), requestId);
    if (kind == AnswerKind.UNUSABLE) {
      unusable(response);
      return;
    }
    String contentType = response.getHeader("Content-Type");
    stream =
        kind == AnswerKind.SUCCESS
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
      return;
    }
    body.appendBuffer(bytes);
    if (body.length() > MAXIMUM_ANSWER_BYTES && end()) {
      request.reset();
      listener.failed("answer too large", Optional.empty());
    }
  }

  private void complete() {
    if (!end()) {
      return;
    }
    switch (kind) {
      case SUCCESS -> succeed();
      case REJECTED, MISDIRECTED -> listener.rejected(kind, head);
      default -> listener.failed("status " + head.status(), Optional.of(head));
    }
  }

  private void succeed() {
    if (!stream) {
      listener.answered(head);
    } else if (splitter.remainder().length > 0) {
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
    boolean proved = kind == AnswerKind.REJECTED || kind == AnswerKind.MISDIRECTED;
    if (proved) {
      listener.rejected(kind, head);
    } else {
      listener.failed("broken off: " + cause.getMessage(), Optional.empty());
    }
  }

  private boolean end() {
    boolean first = !over;
    over = true;
    return first;
  }
}
