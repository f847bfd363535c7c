package org.agatefield.fleet;

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
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;

/** Sends HTTP requests from the tools and tests to the processes of a fleet. Thread-safe. */
public final class FleetHttp implements AutoCloseable {
  private static final int MAXIMUM_CONNECTIONS = 500;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;

  private final Closer closer = new Closer();
  private final HttpClient client;

  /** Creates a client. */
  public FleetHttp() {
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().get());
    client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS),
            new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
  }

  /**
   * A complete HTTP response. Immutable unless a caller modifies the body.
   *
   * @param status the HTTP status
   * @param headers the headers by lower-case name; the last value of a repeated header
   * @param body the complete body
   */
  public record Answer(int status, Map<String, String> headers, Buffer body) {
    /** Returns the body as text. */
    public String text() {
      return body.toString();
    }
  }

  /** Sends a GET request without a body; the future fails if the response is incomplete. */
  public CompletableFuture<Answer> get(Address address, String path) {
    return send(HttpMethod.GET, address, path, Map.of(), "");
  }

  /**
   * Sends a request; the future fails if the response is incomplete.
   *
   * <p>The body handler is registered on the connection's event loop as soon as the response head
   * arrives. Registered from another thread, it may miss the first chunks of the body.
   */
  public CompletableFuture<Answer> send(
      HttpMethod method, Address address, String path, Map<String, String> headers, String body) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.host())
            .setPort(address.port())
            .setURI(path);
    headers.forEach(options::addHeader);
    return client
        .request(options)
        .compose(request -> sendRequest(request, body).compose(FleetHttp::readResponse))
        .toCompletionStage()
        .toCompletableFuture();
  }

  /**
   * Waits for a response.
   *
   * @throws FleetException if the request fails or the response is incomplete within the limit
   */
  public static Answer await(CompletableFuture<Answer> answer, Duration limit) {
    try {
      return answer.get(limit.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    } catch (ExecutionException | TimeoutException exception) {
      throw new FleetException("no whole answer: " + exception, exception);
    }
  }

  private static Future<HttpClientResponse> sendRequest(HttpClientRequest request, String body) {
    return body.isEmpty() ? request.send() : request.send(Buffer.buffer(body));
  }

  private static Future<Answer> readResponse(HttpClientResponse response) {
    Map<String, String> headers = new HashMap<>();
    response.headers().forEach((name, value) -> headers.put(name.toLowerCase(Locale.ROOT), value));
    return response.body().map(body -> new Answer(response.statusCode(), headers, body));
  }

  @Override
  public void close() {
    closer.close();
  }
}
