package org.agatefield.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.model.Address;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * Sends calls to the runners of plain services and reads whole answers.
 *
 * <p>Invariants: an exchange is given out only if its whole body came; a failure says "not run"
 * only if no connection was made. Calls that must not repeat get a connection of their own, so that
 * a connection that the runner has just closed is never mistaken for a lost call. Safe for use by
 * any thread.
 */
final class UpstreamServiceClient {
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
  private static final int CONNECTIONS_PER_RUNNER = 256;
  private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "content-length",
          "date",
          "keep-alive",
          "proxy-authenticate",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private final HttpClient pooled;
  private final HttpClient unpooled;

  UpstreamServiceClient(Vertx vertx) {
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_RUNNER);
    this.pooled = vertx.createHttpClient(options(true), pool);
    this.unpooled = vertx.createHttpClient(options(false), pool);
  }

  private static HttpClientOptions options(boolean keepAlive) {
    return new HttpClientOptions()
        .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
        .setTcpNoDelay(true)
        .setKeepAlive(keepAlive);
  }

  /** Sends a call that may be sent again. */
  CompletableFuture<ServiceResponse> send(Address runner, UpstreamServiceRequest upstreamRequest) {
    return connect(pooled, runner, upstreamRequest);
  }

  /** Sends a call that must not be sent again. */
  CompletableFuture<ServiceResponse> sendOnce(
      Address runner, UpstreamServiceRequest upstreamRequest) {
    return connect(unpooled, runner, upstreamRequest);
  }

  private static CompletableFuture<ServiceResponse> connect(
      HttpClient client, Address runner, UpstreamServiceRequest upstreamRequest) {
    CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
    RequestOptions target =
        new RequestOptions()
            .setMethod(upstreamRequest.method())
            .setHost(runner.host())
            .setPort(runner.port())
            .setURI(upstreamRequest.path());
    client
        .request(target)
        .onFailure(failure -> result.completeExceptionally(notConnected(runner, failure)))
        .onSuccess(request -> exchange(request, upstreamRequest, runner, result));
    return result;
  }

  private static void exchange(
      HttpClientRequest request,
      UpstreamServiceRequest upstreamRequest,
      Address runner,
      CompletableFuture<ServiceResponse> result) {
    upstreamRequest.headers().forEach(request::putHeader);
    request.idleTimeout(upstreamRequest.timeout().toMillis());
    result.whenComplete((done, failure) -> resetIfUnfinished(request, result));
    request
        .send(upstreamRequest.body())
        .compose(response -> new AnswerCollector(response).collect())
        .onSuccess(result::complete)
        .onFailure(failure -> result.completeExceptionally(failed(runner, failure)));
  }

  private static void resetIfUnfinished(
      HttpClientRequest request, CompletableFuture<ServiceResponse> result) {
    if (result.isCompletedExceptionally()) {
      request.reset();
    }
  }

  private static AgatefieldException notConnected(Address runner, Throwable failure) {
    return new AgatefieldException(
        ErrorKind.NO_UPSTREAM, "no connection to the service runner at " + runner, failure);
  }

  private static AgatefieldException failed(Address runner, Throwable failure) {
    if (failure instanceof AgatefieldException known) {
      return known;
    }
    return new AgatefieldException(
        ErrorKind.UPSTREAM_FAILED,
        "the service runner at " + runner + " failed: " + failure.getMessage(),
        failure);
  }

  /** Collects one answer within the limit. Confined to the context of the response. */
  private static final class AnswerCollector {
    private final HttpClientResponse response;
    private final Promise<ServiceResponse> promise = Promise.promise();
    private final Buffer body = Buffer.buffer();

    private AnswerCollector(HttpClientResponse response) {
      this.response = response;
    }

    private Future<ServiceResponse> collect() {
      response.exceptionHandler(promise::tryFail);
      response.handler(this::append);
      response.endHandler(ignored -> promise.tryComplete(exchange()));
      return promise.future();
    }

    private void append(Buffer bytes) {
      if (body.length() + bytes.length() > MAXIMUM_ANSWER_BYTES) {
        promise.tryFail(
            new AgatefieldException(
                ErrorKind.UPSTREAM_ANSWER_CUT,
                "the service's answer exceeds " + MAXIMUM_ANSWER_BYTES + " bytes"));
        return;
      }
      body.appendBuffer(bytes);
    }

    private ServiceResponse exchange() {
      List<ServiceResponse.Header> headers = new ArrayList<>();
      for (Map.Entry<String, String> header : response.headers()) {
        if (!HOP_BY_HOP_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
          headers.add(new ServiceResponse.Header(header.getKey(), header.getValue()));
        }
      }
      return new ServiceResponse(response.statusCode(), headers, body);
    }
  }
}
