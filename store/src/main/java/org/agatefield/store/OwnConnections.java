package org.agatefield.store;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Provides each watch and each list with a connection of its own.
 *
 * <p>Open connections can fall silent while new ones work, so that what decides whether the store
 * is available must not use one that another call has left open. Thread-safe.
 */
final class OwnConnections implements AutoCloseable {
  private final Vertx vertx;
  private final HttpClientOptions options;
  private final Set<HttpClient> clients = ConcurrentHashMap.newKeySet();

  OwnConnections(Vertx vertx, HttpClientOptions options) {
    this.vertx = vertx;
    this.options = options;
  }

  /** Creates a client with one connection; {@link #release} closes it. */
  HttpClient acquire() {
    HttpClient client = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(1));
    clients.add(client);
    return client;
  }

  void release(HttpClient client) {
    if (clients.remove(client)) {
      client.close();
    }
  }

  @Override
  public void close() {
    clients.forEach(this::release);
  }
}
