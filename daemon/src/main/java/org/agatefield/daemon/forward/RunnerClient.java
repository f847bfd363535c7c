package org.agatefield.daemon.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.store.BoundedBody;

/**
 * Sends orders to runners and reads their reports.
 *
 * <p>Every call names the runner that it is meant for, since addresses are used again. Futures
 * complete on the event loop that calls; confined to one.
 */
final class RunnerClient {
  private static final long CALL_MILLISECONDS = 350; // five times the way to the other region
  private static final long WHOLE_CALL_MILLISECONDS = 2 * CALL_MILLISECONDS; // bytes may drip
  private static final int MAXIMUM_ANSWER_BYTES = 1_048_576; // a report of a thousand runs

  private final HttpClient client;
  private final RunnerDialect dialect;

  /** What a runner answered. Immutable. */
  record Answer(int status, Buffer body) {}

  RunnerClient(HttpClient client, RunnerDialect dialect) {
    this.client = client;
    this.dialect = dialect;
  }

  CompletableFuture<Answer> order(RunnerEntry runner, Buffer order) {
    return call(runner, HttpMethod.POST, dialect.orderPath(), order);
  }

  CompletableFuture<Answer> report(RunnerEntry runner) {
    return call(runner, HttpMethod.GET, dialect.reportPath(), Buffer.buffer());
  }

  private CompletableFuture<Answer> call(
      RunnerEntry runner, HttpMethod method, String path, Buffer content) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(runner.address().host())
            .setPort(runner.address().port())
            .setURI(path)
            .setTimeout(CALL_MILLISECONDS)
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
                            BoundedBody.read(response, MAXIMUM_ANSWER_BYTES)
                                .map(body -> new Answer(response.statusCode(), body)))
                    .timeout(WHOLE_CALL_MILLISECONDS, TimeUnit.MILLISECONDS)
                    .onFailure(cause -> request.reset()))
        .onSuccess(result::complete)
        .onFailure(result::completeExceptionally);
    return result;
  }
}
