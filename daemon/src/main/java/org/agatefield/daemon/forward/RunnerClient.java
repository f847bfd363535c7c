package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.store.BoundedBody;

/**
 * Sends orders to runners and reads their reports.
 *
 * <p>Every call names the runner it is meant for, since addresses are reused. Invariant: a call
 * that was given up leaves no bytes that this machine may still send, nor does the end of this
 * process. Futures complete on the calling event loop. Confined to one event loop.
 */
final class RunnerClient {
  // Five times the latency to the other region.
  private static final long RESPONSE_TIMEOUT_MILLISECONDS = 350;
  // Also covers responses that arrive in small pieces.
  private static final long CALL_TIMEOUT_MILLISECONDS = 2 * RESPONSE_TIMEOUT_MILLISECONDS;
  private static final int CONNECT_MILLISECONDS = 400; // Several times the latency between regions.
  private static final int CONNECTIONS_PER_RUNNER = 2;
  // Seconds. A connection that is closed in order still delivers what it holds, after a partition
  // seconds later; one that is reset does not.
  private static final int RESET_ON_CLOSE = 0;
  private static final int MAXIMUM_RESPONSE_BYTES = 1_048_576; // A report of a thousand runs.

  private final HttpClient client;
  private final RunnerDialect dialect;

  /** The response of a runner. Immutable. */
  record Response(int status, MultiMap headers, Buffer body) {}

  /** Creates a client for calls to runners; the caller closes it. */
  static HttpClient createHttpClient(Vertx vertx) {
    return vertx.createHttpClient(
        new HttpClientOptions()
            .setProtocolVersion(HttpVersion.HTTP_1_1)
            .setConnectTimeout(CONNECT_MILLISECONDS)
            .setTcpNoDelay(true)
            .setSoLinger(RESET_ON_CLOSE),
        new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_RUNNER));
  }

  RunnerClient(HttpClient client, RunnerDialect dialect) {
    this.client = client;
    this.dialect = dialect;
  }

  CompletableFuture<Response> sendOrder(RunnerEntry runner, Buffer sendOrder) {
    return call(runner, HttpMethod.POST, dialect.orderPath(), sendOrder);
  }

  CompletableFuture<Response> fetchReport(RunnerEntry runner) {
    return call(runner, HttpMethod.GET, dialect.reportPath(), Buffer.buffer());
  }

  private CompletableFuture<Response> call(
      RunnerEntry runner, HttpMethod method, String path, Buffer content) {
    CompletableFuture<Response> result = new CompletableFuture<>();
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(runner.address().host())
            .setPort(runner.address().port())
            .setURI(path)
            .setTimeout(RESPONSE_TIMEOUT_MILLISECONDS)
            .putHeader("Content-Type", "application/json")
            .putHeader(dialect.expectedRunnerHeader(), runner.id());
    client
        .request(options)
        .compose(
            (HttpClientRequest request) ->
                request
                    .send(content)
                    .compose(
                        response ->
                            BoundedBody.read(response, MAXIMUM_RESPONSE_BYTES)
                                .map(
                                    body ->
                                        new Response(
                                            response.statusCode(), response.headers(), body)))
                    .timeout(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                    .onFailure(cause -> request.reset()))
        .onSuccess(result::complete)
        .onFailure(result::completeExceptionally);
    return result;
  }
}
