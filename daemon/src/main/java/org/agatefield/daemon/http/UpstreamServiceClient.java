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
import org.agatefield.model.HttpStatus;

/**
 * Sends calls to the runners of plain services and reads complete answers.
 *
 * <p>Invariants: an exchange is returned only if its status is one of HTTP and its whole body was
 * received; a failure has {@code RunState.NO} only if no connection was made. Each call uses a new
 * connection: on a kept one, a late response to an earlier call would be taken for the response to
 * the next, and a connection that the runner has just closed would look like a lost call. Safe for
 * use by any thread.
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

  private final HttpClient client;

  UpstreamServiceClient(Vertx vertx) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
            .setTcpNoDelay(true)
            .setKeepAlive(false);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_RUNNER);
    this.client = vertx.createHttpClient(options, pool);
  }

  /** Sends a call. */
  CompletableFuture<ServiceResponse> send(Address runner, UpstreamServiceRequest upstreamRequest) {
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
        .compose(response -> read(response, runner))
        .onSuccess(result::complete)
        .onFailure(failure -> result.completeExceptionally(failed(runner, failure)));
  }

  private static Future<ServiceResponse> read(HttpClientResponse response, Address runner) {
    if (HttpStatus.isAnswer(response.statusCode())) {
      return new AnswerCollector(response).collect();
    }
    return Future.failedFuture(
        new AgatefieldException(
            ErrorKind.UPSTREAM_FAILED,
            "the service runner at "
                + runner
                + " answered with status "
                + response.statusCode()
                + ", which is none of HTTP"));
  }

  private static void resetIfUnfinished(
      HttpClientRequest request, CompletableFuture<ServiceResponse> result) {
    if (result.isCompletedExceptionally()) {
      request.reset();
    }
  }

  private static AgatefieldException notConnected(Address runner, Throwable failure) {
    return new AgatefieldException(
        ErrorKind.NO_UPSTREAM, "cannot connect to the service runner at " + runner, failure);
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

  /** Collects one answer up to the maximum size. Confined to the context of the response. */
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
