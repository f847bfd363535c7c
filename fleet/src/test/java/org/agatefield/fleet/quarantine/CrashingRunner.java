package org.agatefield.fleet.quarantine;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatefield.model.Address;

/**
 * Simulates a runner of a plain service that crashes when it begins to run a deadly request: its
 * connections and its listener close, and a while later it listens again. Thread-safe.
 */
final class CrashingRunner {
  static final String DEADLY_BODY = "deadly";

  // Longer than a daemon takes to see that the connection is refused.
  private static final long RESTART_MILLISECONDS = 500;
  private static final long START_SECONDS = 20;

  private final Vertx vertx;
  private final Address address;
  private final AtomicInteger crashes = new AtomicInteger();
  private volatile boolean listening;

  CrashingRunner(Vertx vertx, Address address) {
    this.vertx = vertx;
    this.address = address;
  }

  int crashes() {
    return crashes.get();
  }

  boolean isListening() {
    return listening;
  }

  void start() {
    HttpServer server =
        vertx.createHttpServer(
            new HttpServerOptions().setHost(address.host()).setPort(address.port()));
    server.requestHandler(request -> handle(request, server));
    try {
      server
          .listen()
          .toCompletionStage()
          .toCompletableFuture()
          .thenAccept(started -> listening = true)
          .get(START_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", exception);
    } catch (ExecutionException | TimeoutException exception) {
      throw new IllegalStateException("cannot listen on " + address, exception);
    }
  }

  private void handle(HttpServerRequest request, HttpServer server) {
    request.body().onSuccess(body -> answer(request, body.toString(), server));
  }

  private void answer(HttpServerRequest request, String body, HttpServer server) {
    if (request.path().startsWith("/outcomes/")) {
      request.response().setStatusCode(404).end();
    } else if (body.equals(DEADLY_BODY)) {
      crash(server);
    } else {
      request.response().end("served");
    }
  }

  private void crash(HttpServer server) {
    listening = false;
    crashes.incrementAndGet();
    server.close();
    vertx.setTimer(RESTART_MILLISECONDS, fired -> vertx.executeBlocking(this::restart));
  }

  private boolean restart() {
    start();
    return true;
  }
}
