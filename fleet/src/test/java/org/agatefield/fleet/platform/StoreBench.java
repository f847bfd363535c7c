package org.agatefield.fleet.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.agatefield.standin.store.ObjectTable;
import org.agatefield.standin.store.StoreServer;
import org.agatefield.store.HttpObjectStore;

/** Runs a stand-in store in the test's process and creates clients of it. Not thread-safe. */
final class StoreBench implements AutoCloseable {
  private static final Duration STORE_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

  final Closer closer = new Closer();
  final Vertx vertx = Vertx.vertx();
  final Address address;
  private final FleetHttp http = closer.register(new FleetHttp());

  StoreBench() {
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    HttpServer server =
        new StoreServer(vertx, new ObjectTable())
            .listen(0)
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    address = new Address("127.0.0.1", server.actualPort());
  }

  HttpObjectStore newClient() {
    return newClient(STORE_TIMEOUT);
  }

  HttpObjectStore newClient(Duration timeout) {
    return closer.register(new HttpObjectStore(vertx, address, timeout));
  }

  void faults(String json) {
    FleetHttp.await(http.send(HttpMethod.POST, address, "/faults", Map.of(), json), CALL_TIMEOUT);
  }

  /** Returns the number of calls that the store has counted. */
  long calls() {
    return counts().path("total").asLong();
  }

  JsonNode counts() {
    try {
      String text = FleetHttp.await(http.get(address, "/counts"), CALL_TIMEOUT).text();
      return new ObjectMapper().readTree(text);
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  static JsonNode content(int value) {
    return JsonNodeFactory.instance.objectNode().put("value", value);
  }

  @Override
  public void close() {
    closer.close();
  }
}
