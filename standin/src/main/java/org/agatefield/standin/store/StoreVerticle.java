package org.agatefield.standin.store;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;

/** Runs a {@link StoreServer} on one event loop. */
final class StoreVerticle extends VerticleBase {
  private final int port;

  StoreVerticle(int port) {
    this.port = port;
  }

  @Override
  public Future<?> start() {
    return new StoreServer(vertx, new ObjectTable())
        .listen(port)
        .onSuccess(server -> System.out.println("listening on 127.0.0.1:" + server.actualPort()));
  }
}
