package org.agatefield.daemon;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import java.util.concurrent.CompletionException;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.StepHook;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.agatefield.settings.DaemonSettings;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Wires the parts of a daemon together and holds them until it ends.
 *
 * <p>{@link #start()} is called once, before {@link #shutDownGracefully()}; both may come from
 * different threads.
 */
final class Daemon {
  private static final Logger LOGGER = LogManager.getLogger(Daemon.class);

  private final Closer closer = new Closer();
  private final MetricRegistry metrics = new MetricRegistry();
  private final InvariantMonitor monitor = new CountingInvariantMonitor(metrics);
  private final DaemonSettings settings;
  private final StepHook hook;

  Daemon(DaemonSettings settings, StepHook hook) {
    this.settings = settings;
    this.hook = hook;
  }

  void start() throws ListenException {
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().get());
    Router router = Router.router(vertx);
    router.get("/metrics").handler(new MetricsHandler(metrics));
    listen(vertx, router);
  }

  private void listen(Vertx vertx, Router router) throws ListenException {
    Address address = settings.listeners().callers();
    HttpServerOptions options =
        new HttpServerOptions().setMaxHeaderSize(settings.limits().headerBytes());
    try {
      vertx
          .createHttpServer(options)
          .requestHandler(router)
          .listen(address.port(), address.host())
          .toCompletionStage()
          .toCompletableFuture()
          .join();
    } catch (CompletionException exception) {
      throw new ListenException(address, exception.getCause());
    }
    LOGGER.info("listening callers={} peers={}", address, settings.listeners().peers());
  }

  /** Finishes what runs, then closes everything; returns whether no request was cut. */
  boolean shutDownGracefully() {
    closer.close();
    return true;
  }
}
