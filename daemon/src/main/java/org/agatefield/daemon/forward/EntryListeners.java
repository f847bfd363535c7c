package org.agatefield.daemon.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.agatefield.daemon.connections.ConnectionGuard;
import org.agatefield.daemon.forward.wire.CallerDialect;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.model.Address;
import org.agatefield.settings.ForwardingSettings;

/**
 * Opens the listeners for callers, directory queries, readiness checks and metrics.
 *
 * <p>Requests are handled on one event loop.
 */
final class EntryListeners {
  // The configured limit is not known when the listener opens; the usual one is a quarter of this.
  private static final int HEADER_BYTES = IngressLimits.INSTANCE_HEADER_BYTES;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final ForwardingSettings settings;
  private final CallerDialect callers;
  private final BooleanSupplier ready;
  private final EntryDirectory directory;
  private final ConnectionGuard guard;

  /**
   * Creates listeners.
   *
   * @param ready whether this instance accepts new connections
   * @param directory answers which instances a caller should use
   * @param guard bounds what clients hold, over all listeners
   */
  EntryListeners(
      Vertx vertx,
      ForwardingSettings settings,
      CallerDialect callers,
      BooleanSupplier ready,
      EntryDirectory directory,
      ConnectionGuard guard) {
    this.vertx = vertx;
    this.settings = settings;
    this.callers = callers;
    this.ready = ready;
    this.directory = directory;
    this.guard = guard;
  }

  /** Listens on all addresses; completes when all listeners are open, or with the first failure. */
  CompletableFuture<Void> listen(IngressServer ingress, MetricRegistry metrics) {
    ForwardingSettings.Listeners listeners = settings.listeners();
    List<CompletableFuture<?>> listening = new ArrayList<>();
    listening.add(listen(listeners.callers(), ingress::handle));
    listening.add(listen(listeners.readiness(), this::answerReadiness));
    listening.add(listen(listeners.directory(), this::answerDirectory));
    listeners
        .metrics()
        .ifPresent(address -> listening.add(listen(address, new MetricsServer(metrics))));
    return CompletableFuture.allOf(listening.toArray(CompletableFuture[]::new));
  }

  private CompletableFuture<?> listen(Address address, Handler<HttpServerRequest> handler) {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHttp2ClearTextEnabled(false)
            .setHandle100ContinueAutomatically(true)
            .setMaxHeaderSize(HEADER_BYTES)
            .setMaxInitialLineLength(HEADER_BYTES)
            .setTcpNoDelay(true);
    return guard
        .guard(vertx.createHttpServer(options), options)
        .requestHandler(handler)
        .listen(address.port(), address.host())
        .toCompletionStage()
        .toCompletableFuture();
  }

  private void answerReadiness(HttpServerRequest request) {
    if (!request.path().equals(callers.readinessPath())) {
      request.response().setStatusCode(NOT_FOUND).end();
      return;
    }
    request.response().setStatusCode(ready.getAsBoolean() ? OK : UNAVAILABLE).end();
  }

  private void answerDirectory(HttpServerRequest request) {
    if (!request.path().equals(callers.directoryPath())) {
      request.response().setStatusCode(NOT_FOUND).end();
      return;
    }
    List<Address> addresses =
        directory.addressesFor(
            callers.callerLocation(request.params()),
            String.valueOf(request.remoteAddress()),
            MonotonicClock.milliseconds());
    request
        .response()
        .putHeader("Content-Type", "application/json")
        .end(callers.directoryAnswer(addresses, settings.terms().answerTimeToLive()));
  }
}
