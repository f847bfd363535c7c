package org.agatefield.standin.weights;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * Simulates the weight store: a load takes a fixed time, which grows with the number of concurrent
 * loads above the full-speed limit.
 *
 * <p>The rate of load starts is limited; loads above the rate wait. All state is confined to the
 * one event loop of its HTTP server.
 */
public final class WeightStoreStandin {
  private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

  private final Vertx vertx;
  private final int port;
  private final double loadsPerSecond;
  private final int concurrentLoads;
  private final long loadMilliseconds;
  private long nextStartNanoseconds = System.nanoTime();
  private int running;
  private int mostRunning;
  private long loads;

  /**
   * Creates a store.
   *
   * @param port the port on loopback; 0 for any free port
   * @param loadsPerSecond maximum number of loads started per second
   * @param concurrentLoads number of concurrent loads at full speed
   * @param loadMilliseconds time of a load at full speed, in milliseconds
   */
  public WeightStoreStandin(
      Vertx vertx, int port, double loadsPerSecond, int concurrentLoads, long loadMilliseconds) {
    this.vertx = vertx;
    this.port = port;
    this.loadsPerSecond = loadsPerSecond;
    this.concurrentLoads = concurrentLoads;
    this.loadMilliseconds = loadMilliseconds;
  }

  /** Starts listening; the result is the port. */
  public Future<Integer> start() {
    Router router = Router.router(vertx);
    router.post("/loads/:version").handler(this::load);
    router.get("/loads").handler(this::counts);
    return vertx
        .createHttpServer()
        .requestHandler(router)
        .listen(port, "127.0.0.1")
        .map(HttpServer::actualPort);
  }

  private void load(RoutingContext context) {
    loads++;
    long now = System.nanoTime();
    long start = Math.max(now, nextStartNanoseconds);
    nextStartNanoseconds = start + (long) (NANOSECONDS_PER_SECOND / loadsPerSecond);
    after((start - now) / NANOSECONDS_PER_MILLISECOND, () -> transfer(context.request()));
  }

  private void transfer(HttpServerRequest request) {
    running++;
    mostRunning = Math.max(mostRunning, running);
    long slowdown = Math.max(1, (running + concurrentLoads - 1) / concurrentLoads);
    after(
        loadMilliseconds * slowdown,
        () -> {
          running--;
          request.response().end();
        });
  }

  private void counts(RoutingContext context) {
    JsonObject counts =
        new JsonObject()
            .put("loads", loads)
            .put("running", running)
            .put("mostRunning", mostRunning);
    context.response().putHeader("content-type", "application/json").end(counts.toBuffer());
  }

  private void after(long milliseconds, Runnable action) {
    vertx.setTimer(Math.max(1, milliseconds), ignored -> action.run());
  }
}
