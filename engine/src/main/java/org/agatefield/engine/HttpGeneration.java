package org.agatefield.engine;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * Runs one generation over HTTP.
 *
 * <p>Invariants: the listener is notified of at most one end and not called after it or after
 * {@link #cancel()}; a request whose response is abandoned is reset, so that its connection is not
 * reused. All state is confined to one Vert.x context; the methods of {@link EngineCall} are safe
 * for use by any thread.
 */
final class HttpGeneration implements EngineCall {
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int STATUS_OK = 200;
  private static final int MAXIMUM_REFUSAL_BYTES = 64 * 1024;

  private final Vertx vertx;
  private final Context context;
  private final HttpEngineClient client;
  private final Address engine;
  private final EngineRequest request;
  private final EngineAnswerListener listener;
  private final AnswerChecker checker;
  private HttpClientRequest httpRequest;
  private HttpClientResponse httpResponse;
  private Buffer body = Buffer.buffer();
  private EventParser events;
  private boolean completed;
  private boolean exchangeCompleted;
  private boolean paused;
  private long idleTimer = -1;
  private long lastActivityNanoseconds;

  HttpGeneration(
      Vertx vertx,
      Context context,
      HttpEngineClient client,
      Address engine,
      EngineRequest request,
      EngineAnswerListener listener) {
    this.vertx = vertx;
    this.context = context;
    this.client = client;
    this.engine = engine;
    this.request = request;
    this.listener = listener;
    this.checker =
        new AnswerChecker(request.attemptIdentifier(), request.firstToken(), client.rules());
  }

  void start() {
    onContext(this::connect);
  }

  @Override
  public void cancel() {
    onContext(this::abort);
  }

  @Override
  public void pause() {
    onContext(
        () -> {
          paused = true;
          if (httpResponse != null) {
            httpResponse.pause();
          }
        });
  }

  @Override
  public void resume() {
    onContext(
        () -> {
          paused = false;
          lastActivityNanoseconds = System.nanoTime();
          if (httpResponse != null) {
            httpResponse.resume();
          }
        });
  }

  private void onContext(Runnable action) {
    if (Vertx.currentContext() == context) {
      action.run();
    } else {
      context.runOnContext(ignored -> action.run());
    }
  }

  private void connect() {
    client
        .connect(engine, HttpMethod.POST, request.path())
        .onFailure(failure -> fail(HttpEngineClient.connectFailed(engine, failure)))
        .onSuccess(this::send);
  }

  private void send(HttpClientRequest connected) {
    httpRequest = connected;
    if (completed) {
      connected.reset();
      return;
    }
    connected.putHeader("content-type", "application/json");
    connected.putHeader(REQUEST_ID_HEADER, request.attemptIdentifier());
    connected.exceptionHandler(failure -> fail(HttpEngineClient.failed(engine, failure)));
    connected
        .send(request.body())
        .onFailure(failure -> fail(HttpEngineClient.failed(engine, failure)))
        .onSuccess(this::handleResponse);
  }

  private void handleResponse(HttpClientResponse response) {
    if (completed) {
      return;
    }
    httpResponse = response;
    response.exceptionHandler(failure -> fail(cut("connection failed: " + failure)));
    if (response.statusCode() != STATUS_OK) {
      response.handler(bytes -> collect(bytes, MAXIMUM_REFUSAL_BYTES));
      response.endHandler(ignored -> handleRefusal(response));
      return;
    }
    failOnException(() -> checker.head(response.getHeader(REQUEST_ID_HEADER)));
    if (completed) {
      return;
    }
    startIdleTimer();
    readAnswer(response, Optional.ofNullable(response.getHeader("content-type")).orElse(""));
    if (paused) {
      response.pause();
    }
  }

  private void readAnswer(HttpClientResponse response, String contentType) {
    listener.head(contentType);
    if (contentType.startsWith(EVENT_STREAM)) {
      readEvents(response);
    } else {
      readWhole(response);
    }
  }

  private void readEvents(HttpClientResponse response) {
    events = new EventParser(client.options().maximumEventBytes(), this::handleEvent);
    response.handler(
        bytes -> {
          lastActivityNanoseconds = System.nanoTime();
          failOnException(() -> events.accept(bytes));
        });
    response.endHandler(ignored -> endOfStream());
  }

  private void handleEvent(ServerSentEvent event) {
    if (completed) {
      return;
    }
    Optional<EngineAnswerPart> part = checker.event(event);
    part.ifPresent(listener::part);
  }

  private void handleRefusal(HttpClientResponse response) {
    exchangeCompleted = true;
    // On a kept connection a faulty engine may repeat its refusal of an earlier request.
    if (!request.attemptIdentifier().equals(response.getHeader(REQUEST_ID_HEADER))) {
      response.request().connection().close();
      fail(
          new AgatefieldException(
              ErrorKind.UPSTREAM_FAILED,
              "the engine at %s responded with status %d to another attempt"
                  .formatted(engine, response.statusCode())));
      return;
    }
    fail(RefusalReader.read(response.statusCode(), body));
  }

  private void endOfStream() {
    exchangeCompleted = true;
    if (checker.isWhole()) {
      succeed();
    } else {
      fail(cut("stream ended without its end marker"));
    }
  }

  private void readWhole(HttpClientResponse response) {
    response.handler(
        bytes -> {
          lastActivityNanoseconds = System.nanoTime();
          collect(bytes, client.options().maximumAnswerBytes());
        });
    response.endHandler(ignored -> failOnException(this::endOfWhole));
  }

  private void endOfWhole() {
    exchangeCompleted = true;
    if (completed) {
      return;
    }
    EngineAnswerPart part = checker.whole(body);
    listener.part(part);
    succeed();
  }

  private void collect(Buffer bytes, int limit) {
    if (completed) {
      return;
    }
    if (body.length() + bytes.length() > limit) {
      fail(cut("response exceeds " + limit + " bytes"));
      return;
    }
    body.appendBuffer(bytes);
  }

  private void failOnException(Runnable action) {
    try {
      action.run();
    } catch (AgatefieldException failure) {
      fail(failure);
    } catch (IllegalStateException failure) {
      fail(cut(failure.getMessage()));
    }
  }

  private AgatefieldException cut(String detail) {
    return new AgatefieldException(
        ErrorKind.UPSTREAM_ANSWER_CUT, "the engine at " + engine + ": " + detail);
  }

  private void startIdleTimer() {
    lastActivityNanoseconds = System.nanoTime();
    scheduleIdleCheck(client.options().idleTimeout().toNanos());
  }

  private void scheduleIdleCheck(long delayNanoseconds) {
    long milliseconds = Math.max(1, TimeUnit.NANOSECONDS.toMillis(delayNanoseconds));
    idleTimer = vertx.setTimer(milliseconds, ignored -> checkIdle());
  }

  private void checkIdle() {
    if (completed) {
      return;
    }
    long limit = client.options().idleTimeout().toNanos();
    long idle = paused ? 0 : System.nanoTime() - lastActivityNanoseconds;
    if (idle >= limit) {
      fail(cut("no data received for " + TimeUnit.NANOSECONDS.toMillis(idle) + " ms"));
      return;
    }
    scheduleIdleCheck(limit - idle);
  }

  private void succeed() {
    if (completed) {
      return;
    }
    completed = true;
    vertx.cancelTimer(idleTimer);
    listener.ended();
  }

  private void fail(AgatefieldException failure) {
    if (completed) {
      return;
    }
    if (checker.isCrossed()) {
      client.countCrossedAnswer();
    }
    abort();
    listener.failed(failure);
  }

  private void abort() {
    if (completed) {
      return;
    }
    completed = true;
    vertx.cancelTimer(idleTimer);
    if (httpRequest != null && !exchangeCompleted) {
      httpRequest.reset();
      client.sendCancel(engine, request.attemptIdentifier());
    }
  }
}
