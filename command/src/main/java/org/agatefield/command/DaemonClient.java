package org.agatefield.command;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;

/** Blocking HTTP client for one daemon. For use by one thread. */
final class DaemonClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(150);

  private final Closer closer = new Closer();
  private final Address daemon;
  private final Map<String, String> headers;
  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param headers sent with each request
   */
  DaemonClient(Address daemon, Map<String, String> headers) {
    this.daemon = daemon;
    this.headers = Map.copyOf(headers);
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().get());
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
  }

  HttpAnswer get(String path) {
    return send(HttpMethod.GET, path, "", Map.of(), part -> {});
  }

  HttpAnswer send(HttpMethod method, String path, String body, Map<String, String> moreHeaders) {
    return send(method, path, body, moreHeaders, part -> {});
  }

  /**
   * Sends a request.
   *
   * @param onPart called with each part of the body as it arrives
   */
  HttpAnswer send(
      HttpMethod method,
      String path,
      String body,
      Map<String, String> moreHeaders,
      Consumer<Buffer> onPart) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(daemon.host())
            .setPort(daemon.port())
            .setURI(path);
    headers.forEach(options::addHeader);
    moreHeaders.forEach(options::addHeader);
    CompletableFuture<HttpAnswer> answer =
        client
            .request(options)
            .compose(request -> write(request, body).compose(response -> read(response, onPart)))
            .toCompletionStage()
            .toCompletableFuture();
    return await(answer);
  }

  private static Future<HttpClientResponse> write(HttpClientRequest request, String body) {
    return body.isEmpty() ? request.send() : request.send(Buffer.buffer(body));
  }

  private static Future<HttpAnswer> read(HttpClientResponse response, Consumer<Buffer> onPart) {
    Buffer whole = Buffer.buffer();
    response.handler(
        part -> {
          whole.appendBuffer(part);
          onPart.accept(part);
        });
    return response
        .end()
        .map(
            ended ->
                new HttpAnswer(
                    response.statusCode(),
                    whole.toString(),
                    Optional.ofNullable(response.getHeader("Retry-After"))));
  }

  private HttpAnswer await(CompletableFuture<HttpAnswer> answer) {
    try {
      return answer.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException exception) {
      throw new CommandException(
          CommandExitCode.UNREACHABLE,
          "the daemon at " + daemon + " gave no complete answer: " + exception.getCause());
    } catch (TimeoutException exception) {
      throw new CommandException(
          CommandExitCode.UNREACHABLE,
          "the daemon at "
              + daemon
              + " did not answer within "
              + ANSWER_TIMEOUT.toSeconds()
              + " s");
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new CommandException(CommandExitCode.FAILURE, "interrupted");
    }
  }

  @Override
  public void close() {
    closer.close();
  }
}
