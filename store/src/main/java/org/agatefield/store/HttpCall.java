package org.agatefield.store;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Performs one HTTP call with a timeout.
 *
 * <p>Invariants: the future completes once; if a write fails with {@link StoreFailure#UNAVAILABLE},
 * no byte was or will be written to a connection. All state is guarded by the object's lock, which
 * is never held while a future completes. Safe for use by any thread.
 */
final class HttpCall {
  /** A response of the store. Immutable as long as {@code body} is not modified. */
  record Answer(boolean write, int status, MultiMap headers, Buffer body) {}

  private static final int MAXIMUM_ANSWER_BYTES = 16 * 1_048_576; // a list page is about 1 MB

  private final CompletableFuture<Answer> result = new CompletableFuture<>();
  private final boolean write;
  private final String description;
  private boolean sent;
  private boolean completed;
  private HttpClientRequest request;

  private HttpCall(HttpMethod method, String path) {
    this.write = !method.equals(HttpMethod.GET);
    this.description = method + " " + path;
  }

  static CompletableFuture<Answer> start(
      Vertx vertx, HttpClient client, RequestOptions options, Buffer body, Duration timeout) {
    HttpCall call = new HttpCall(options.getMethod(), options.getURI());
    long timer = vertx.setTimer(Math.max(1, timeout.toMillis()), fired -> call.expire());
    call.result.whenComplete((answer, failure) -> vertx.cancelTimer(timer));
    call.open(client, options, body);
    return call.result;
  }

  private void open(HttpClient client, RequestOptions options, Buffer body) {
    try {
      client.request(options).onSuccess(opened -> send(opened, body)).onFailure(this::fail);
    } catch (IllegalStateException closed) {
      fail(closed);
    }
  }

  private void send(HttpClientRequest opened, Buffer body) {
    synchronized (this) {
      if (completed) {
        opened.reset();
        return;
      }
      sent = true;
      request = opened;
    }
    opened.send(body).compose(this::read).onSuccess(this::succeed).onFailure(this::fail);
  }

  private Future<Answer> read(HttpClientResponse response) {
    return BoundedBody.read(response, MAXIMUM_ANSWER_BYTES)
        .map(body -> new Answer(write, response.statusCode(), response.headers(), body));
  }

  private void succeed(Answer answer) {
    synchronized (this) {
      completed = true;
    }
    result.complete(answer);
  }

  private void expire() {
    HttpClientRequest opened;
    synchronized (this) {
      completed = true;
      opened = request;
    }
    if (opened != null) {
      opened.reset();
    }
    finish("no response within the timeout", null);
  }

  private void fail(Throwable cause) {
    synchronized (this) {
      completed = true;
    }
    finish(String.valueOf(cause.getMessage()), cause);
  }

  private static StoreFailure failureOf(Throwable cause) {
    return cause instanceof BoundedBody.TooLargeException
        ? StoreFailure.TOO_LARGE
        : StoreFailure.UNAVAILABLE;
  }

  private void finish(String reason, Throwable cause) {
    boolean unknown;
    synchronized (this) {
      unknown = sent && write;
    }
    StoreFailure failure = unknown ? StoreFailure.UNKNOWN_RESULT : failureOf(cause);
    result.completeExceptionally(new StoreException(failure, description + ": " + reason, cause));
  }
}
