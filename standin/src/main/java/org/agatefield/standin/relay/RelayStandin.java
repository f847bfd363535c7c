package org.agatefield.standin.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Relays TCP connections to one address.
 *
 * <p>Invariant: the bytes of a connection stay in order, and none is lost before the connection is
 * closed. All state is confined to one event loop.
 */
public final class RelayStandin {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Vertx vertx;
  private final String targetHost;
  private final int targetPort;
  private final NetClient client;
  private final Set<NetSocket> sockets = new LinkedHashSet<>();
  private final RelayDirection forward;
  private final RelayDirection backward;
  private RelayBehaviour behaviour = RelayBehaviour.TRANSPARENT;

  /** Creates a relay to an address. */
  public RelayStandin(Vertx vertx, String targetHost, int targetPort) {
    this.vertx = vertx;
    this.targetHost = targetHost;
    this.targetPort = targetPort;
    this.client = vertx.createNetClient();
    this.forward = new RelayDirection(vertx, () -> behaviour);
    this.backward = new RelayDirection(vertx, () -> behaviour);
  }

  /** Starts relaying; the result is the port. */
  public Future<Integer> start(int port) {
    return vertx
        .createNetServer()
        .connectHandler(this::connected)
        .listen(port, "127.0.0.1")
        .map(NetServer::actualPort);
  }

  /** Starts the control interface; the result is the port. */
  public Future<Integer> startControl(int port) {
    Router router = Router.router(vertx);
    router.post("/behaviour").handler(BodyHandler.create(false)).handler(this::setBehaviour);
    router.get("/counts").handler(this::counts);
    return vertx
        .createHttpServer()
        .requestHandler(router)
        .listen(port, "127.0.0.1")
        .map(HttpServer::actualPort);
  }

  /** Changes the behaviour for new and open connections. */
  public void applyBehaviour(RelayBehaviour newBehaviour) {
    behaviour = newBehaviour;
    if (behaviour.cut()) {
      List.copyOf(sockets).forEach(NetSocket::close);
    }
  }

  private void connected(NetSocket caller) {
    if (behaviour.cut()) {
      caller.close();
      return;
    }
    track(caller);
    caller.pause();
    client
        .connect(targetPort, targetHost)
        .onFailure(failure -> caller.close())
        .onSuccess(
            target -> {
              track(target);
              forward.relay(caller, target);
              backward.relay(target, caller);
              caller.resume();
            });
  }

  private void track(NetSocket socket) {
    sockets.add(socket);
    socket.closeHandler(ignored -> sockets.remove(socket));
  }

  private void setBehaviour(RoutingContext context) {
    try {
      applyBehaviour(MAPPER.readValue(context.body().buffer().getBytes(), RelayBehaviour.class));
      context.response().end();
    } catch (IOException exception) {
      context.response().setStatusCode(400).end("malformed behaviour: " + exception.getMessage());
    }
  }

  private void counts(RoutingContext context) {
    HttpServerRequest request = context.request();
    JsonObject counts =
        new JsonObject()
            .put("forwardBytes", forward.bytes())
            .put("backwardBytes", backward.bytes())
            .put("openConnections", sockets.size() / 2);
    request.response().putHeader("content-type", "application/json").end(counts.toBuffer());
  }
}
