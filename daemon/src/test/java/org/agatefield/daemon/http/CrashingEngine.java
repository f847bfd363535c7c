package org.agatefield.daemon.http;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatefield.model.Address;

/**
 * Passes connections on to an engine, and simulates its crash when a request is deadly: all
 * connections and the listener close, and a while later it listens again. Its state is confined to
 * one event loop, but for the counters.
 */
final class CrashingEngine {
  static final String DEADLY_PROMPT = "deadly";

  // Longer than it takes to see that the connection is refused.
  private static final long RESTART_MILLISECONDS = 500;

  private final Vertx vertx;
  private final NetClient client;
  private final Address engine;
  private final Address address;
  private final AtomicInteger crashes = new AtomicInteger();
  private volatile boolean listening = true;

  CrashingEngine(Vertx vertx, Address engine) {
    this.vertx = vertx;
    this.client = vertx.createNetClient();
    this.engine = engine;
    NetServer first = newServer();
    int port = CallerApiHarness.await(first.listen(0, engine.host())).actualPort();
    this.address = new Address(engine.host(), port);
  }

  Address address() {
    return address;
  }

  int crashes() {
    return crashes.get();
  }

  boolean isListening() {
    return listening;
  }

  private NetServer newServer() {
    NetServer server = vertx.createNetServer();
    return server.connectHandler(socket -> connect(socket, server));
  }

  private void connect(NetSocket caller, NetServer server) {
    caller.pause();
    client
        .connect(engine.port(), engine.host())
        .onFailure(failure -> caller.close())
        .onSuccess(upstream -> join(caller, upstream, server));
  }

  private void join(NetSocket caller, NetSocket upstream, NetServer server) {
    upstream.handler(caller::write);
    upstream.closeHandler(closed -> caller.close());
    caller.closeHandler(closed -> upstream.close());
    caller.handler(bytes -> pass(bytes, upstream, server));
    caller.resume();
  }

  private void pass(Buffer bytes, NetSocket upstream, NetServer server) {
    if (bytes.toString().contains(DEADLY_PROMPT)) {
      crash(server);
    } else {
      upstream.write(bytes);
    }
  }

  private void crash(NetServer server) {
    listening = false;
    crashes.incrementAndGet();
    server.close();
    vertx.setTimer(
        RESTART_MILLISECONDS,
        fired ->
            newServer()
                .listen(address.port(), address.host())
                .onSuccess(started -> listening = true));
  }
}
