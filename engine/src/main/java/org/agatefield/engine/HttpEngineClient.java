package org.agatefield.engine;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.LoadReport;
import org.agatefield.store.BoundedBody;

/**
 * Client of engines with an OpenAI-compatible HTTP interface and event streams.
 *
 * <p>Invariant: a response reported as complete had its end marker and carried the identifier of
 * its attempt in every part. Safe for use by any thread; a generation's listener is called on the
 * Vert.x context that {@link #generate} was called on.
 */
public final class HttpEngineClient implements EngineClient, AutoCloseable {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  private static final int STATUS_OK = 200;

  private final Vertx vertx;
  private final EngineClientOptions options;
  private final Set<AnswerRule> rules;
  private final HttpClient client;
  private final AtomicLong crossedAnswers = new AtomicLong();

  /** Creates a client. */
  public HttpEngineClient(Vertx vertx, EngineClientOptions options) {
    this(vertx, options, EnumSet.allOf(AnswerRule.class));
  }

  HttpEngineClient(Vertx vertx, EngineClientOptions options, Set<AnswerRule> rules) {
    this.vertx = vertx;
    this.options = options;
    this.rules = EnumSet.copyOf(rules.isEmpty() ? EnumSet.noneOf(AnswerRule.class) : rules);
    HttpClientOptions clientOptions =
        new HttpClientOptions()
            .setConnectTimeout((int) options.connectTimeout().toMillis())
            .setTcpNoDelay(true)
            .setDecompressionSupported(false);
    this.client =
        vertx.createHttpClient(
            clientOptions, new PoolOptions().setHttp1MaxSize(options.connectionsPerEngine()));
  }

  /** Returns the number of responses dropped because they identified another attempt. */
  public long crossedAnswers() {
    return crossedAnswers.get();
  }

  @Override
  public CompletableFuture<LoadReport> loadReport(Address engine) {
    return exchange(engine, HttpMethod.GET, "/load", Buffer.buffer(), options.loadReportTimeout())
        .thenApply(body -> read(body, LoadReport.class));
  }

  @Override
  public CompletableFuture<OrderResult> order(Address engine, EngineOrder order) {
    return exchange(engine, HttpMethod.POST, "/orders", write(order), options.orderTimeout())
        .thenApply(body -> read(body, OrderAnswer.class).result());
  }

  @Override
  public EngineCall generate(Address engine, EngineRequest request, EngineAnswerListener listener) {
    Context context = vertx.getOrCreateContext();
    HttpGeneration generation = new HttpGeneration(vertx, context, this, engine, request, listener);
    generation.start();
    return generation;
  }

  @Override
  public void close() {
    client.close();
  }

  EngineClientOptions options() {
    return options;
  }

  Set<AnswerRule> rules() {
    return rules;
  }

  void countCrossedAnswer() {
    crossedAnswers.incrementAndGet();
  }

  Future<HttpClientRequest> connect(Address engine, HttpMethod method, String path) {
    RequestOptions requestOptions =
        new RequestOptions()
            .setMethod(method)
            .setHost(engine.host())
            .setPort(engine.port())
            .setURI(path)
            .setConnectTimeout(options.connectTimeout().toMillis());
    try {
      return client.request(requestOptions);
    } catch (IllegalStateException closed) {
      return Future.failedFuture(closed);
    }
  }

  /** Cancels a request at an engine; if this call is lost, the closed connection cancels it too. */
  void sendCancel(Address engine, String attemptIdentifier) {
    connect(engine, HttpMethod.POST, "/requests/" + attemptIdentifier + "/cancel")
        .compose(HttpClientRequest::send)
        .onSuccess(HttpClientResponse::end);
  }

  private CompletableFuture<Buffer> exchange(
      Address engine, HttpMethod method, String path, Buffer body, Duration timeout) {
    CompletableFuture<Buffer> result = new CompletableFuture<>();
    connect(engine, method, path)
        .onFailure(failure -> result.completeExceptionally(connectFailed(engine, failure)))
        .onSuccess(
            request -> {
              request.putHeader("content-type", "application/json");
              request.idleTimeout(timeout.toMillis());
              request
                  .send(body)
                  .compose(this::bodyOf)
                  .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                  .onSuccess(result::complete)
                  .onFailure(
                      failure -> {
                        request.reset();
                        result.completeExceptionally(failed(engine, failure));
                      });
            });
    return result;
  }

  private Future<Buffer> bodyOf(HttpClientResponse response) {
    if (response.statusCode() != STATUS_OK) {
      return Future.failedFuture("HTTP status " + response.statusCode());
    }
    return BoundedBody.read(response, options.maximumAnswerBytes());
  }

  static AgatefieldException connectFailed(Address engine, Throwable failure) {
    return new AgatefieldException(
        ErrorKind.NO_UPSTREAM, "cannot connect to the engine at " + engine, failure);
  }

  static AgatefieldException failed(Address engine, Throwable failure) {
    return new AgatefieldException(
        ErrorKind.UPSTREAM_FAILED,
        "the engine at " + engine + " failed: " + failure.getMessage(),
        failure);
  }

  private static Buffer write(EngineOrder order) {
    try {
      return Buffer.buffer(MAPPER.writeValueAsBytes(order));
    } catch (IOException exception) {
      throw new IllegalStateException("order cannot be encoded as JSON", exception);
    }
  }

  private static <T> T read(Buffer body, Class<T> type) {
    try {
      return MAPPER.readValue(body.getBytes(), type);
    } catch (IOException exception) {
      throw new AgatefieldException(
          ErrorKind.UPSTREAM_FAILED,
          "malformed response of the engine: " + exception.getMessage(),
          exception);
    }
  }

  /**
   * The response to an order.
   *
   * @param result the result of the order
   */
  private record OrderAnswer(OrderResult result) {}
}
