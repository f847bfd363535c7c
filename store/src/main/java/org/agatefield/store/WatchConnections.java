package org.agatefield.store;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Provides each watch with a connection of its own.
 *
 * <p>Open connections can fall silent while new ones work, so that a watch must not be resumed on
 * one that another watch has left open. Thread-safe.
 */
final class WatchConnections implements AutoCloseable {
  private final Vertx vertx;
  private final HttpClientOptions options;
  private final Set<HttpClient> clients = ConcurrentHashMap.newKeySet();

  WatchConnections(Vertx vertx, HttpClientOptions options) {
    this.vertx = vertx;
    this.options = options;
  }

  /** Creates a client for one watch; {@link #release} closes it. */
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
