package org.agatefield.daemon.connections;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.agatefield.forwarding.IngressLimits;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps what the clients of HTTP listeners hold within bounds; refuses or closes what is too much.
 *
 * <p>The listeners of a process share one guard. Thread-safe.
 */
public final class ConnectionGuard {
  private static final Logger LOGGER = LogManager.getLogger(ConnectionGuard.class);
  private static final String PREFIX = "agatefield.connections.";
  private static final String DECODER = "httpDecoder";
  private static final String CONNECTION_HANDLER = "handler";

  private final HeldConnections held;
  private final Supplier<IngressLimits> limits;
  private final LongSupplier clock;
  private String reported = "";

  /**
   * Creates a guard.
   *
   * @param limits the limits in force
   * @param clock monotonic time in milliseconds
   */
  public ConnectionGuard(HeldConnections held, Supplier<IngressLimits> limits, LongSupplier clock) {
    this.held = held;
    this.limits = limits;
    this.clock = clock;
  }

  /** Registers what connections hold and how many were given up. */
  public void register(MetricRegistry metrics) {
    metrics.registerGauge(PREFIX + "held-bytes", (Gauge<Long>) held::bytes);
    metrics.registerGauge(PREFIX + "open", (Gauge<Integer>) held::size);
    for (GiveUpReason reason : GiveUpReason.values()) {
      metrics.registerGauge(
          PREFIX + "given-up." + name(reason), (Gauge<Long>) () -> held.givenUp(reason));
    }
  }

  private static String name(GiveUpReason reason) {
    return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Guards the connections of a server that was created with the same options. */
  public HttpServer guard(HttpServer server, HttpServerOptions options) {
    return server.connectionHandler(connection -> opened(connection, options));
  }

  private void opened(HttpConnection opened, HttpServerOptions options) {
    if (!(opened instanceof HttpServerConnection connection)) {
      return;
    }
    ChannelPipeline pipeline = connection.channelHandlerContext().pipeline();
    if (pipeline.get(DECODER) == null) {
      return; // A connection of HTTP/2 bounds its streams itself.
    }
    CountingRequestDecoder decoder = new CountingRequestDecoder(options, this);
    pipeline.replace(DECODER, DECODER, decoder);
    pipeline.addBefore(CONNECTION_HANDLER, "responseWatch", new ResponseWatch(decoder));
    giveUp(held.add(decoder.connection(), now()));
  }

  void hold(HeldConnection connection, long bytes) {
    if (bytes != connection.bytes()) {
      giveUp(held.hold(connection, bytes, now()));
    }
  }

  /** Forgets a connection that has released all that it held. */
  void released(HeldConnection connection) {
    held.remove(connection);
  }

  /** Returns whether connections should read nothing for the moment. */
  boolean isReleasing() {
    return held.isReleasing();
  }

  long now() {
    return clock.getAsLong();
  }

  IngressLimits limits() {
    return limits.get();
  }

  /** Returns when a refused client may come back; another instance may have room at once. */
  String retrySeconds() {
    return String.format(Locale.ROOT, "%.2f", ThreadLocalRandom.current().nextDouble(0.15, 0.45));
  }

  /** Closes connections whose time is over; called about once a second by one thread. */
  public void sweep(long now) {
    giveUp(held.overdue(limits(), now));
    String counts =
        Stream.of(GiveUpReason.values())
            .map(reason -> name(reason) + "=" + held.givenUp(reason))
            .collect(Collectors.joining(" "));
    if (!counts.equals(reported) && !reported.isEmpty()) {
      LOGGER.info(
          "connections given up {} open={} held_bytes={}", counts, held.size(), held.bytes());
    }
    reported = counts;
  }

  private static void giveUp(List<HeldConnections.GivenUp> gone) {
    gone.forEach(each -> each.connection().giveUp(each.reason()));
  }
}
