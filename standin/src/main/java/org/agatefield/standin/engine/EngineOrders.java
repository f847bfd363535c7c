package org.agatefield.standin.engine;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.agatefield.standin.engine.OrderAnswer.Result;

/**
 * Executes orders. A load reserves memory at once and completes when the weights have been fetched.
 *
 * <p>Confined to the event loop of the engine.
 */
final class EngineOrders {
  private final Vertx vertx;
  private final EngineStandinOptions options;
  private final EngineMemory memory;
  private final HttpClient client;
  private final Consumer<String> versionUnloaded;
  private final Map<String, Future<Result>> loading = new HashMap<>();

  EngineOrders(
      Vertx vertx,
      EngineStandinOptions options,
      EngineMemory memory,
      Consumer<String> versionUnloaded) {
    this.vertx = vertx;
    this.options = options;
    this.memory = memory;
    this.client = vertx.createHttpClient();
    this.versionUnloaded = versionUnloaded;
  }

  Future<Result> execute(OrderMessage order) {
    if (!memory.acceptsFencingToken(order)) {
      return Future.succeededFuture(Result.REFUSED_OLD_TOKEN);
    }
    return switch (order.action()) {
      case LOAD_VERSION, LOAD_ADAPTER -> load(order);
      case UNLOAD_VERSION -> {
        memory.unloadVersion(order.version());
        loading.keySet().removeIf(key -> key.contains(" " + order.version() + " "));
        versionUnloaded.accept(order.version());
        yield Future.succeededFuture(Result.DONE);
      }
      case UNLOAD_ADAPTER -> {
        memory.unloadAdapter(order.version(), order.adapter());
        yield Future.succeededFuture(Result.DONE);
      }
      case RAISE_FENCING_TOKEN -> Future.succeededFuture(Result.DONE);
    };
  }

  private Future<Result> load(OrderMessage order) {
    String key = order.action() + " " + order.version() + " " + order.adapter();
    Future<Result> running = loading.get(key);
    if (running != null) {
      return running;
    }
    boolean alreadyLoaded = isLoaded(order);
    Result result = memory.reserve(order);
    if (result != Result.DONE || alreadyLoaded) {
      return Future.succeededFuture(result);
    }
    Future<Result> load =
        weights(order)
            .map(
                ignored -> {
                  memory.markLoaded(order);
                  return Result.DONE;
                });
    loading.put(key, load);
    load.onComplete(ignored -> loading.remove(key, load));
    return load;
  }

  private boolean isLoaded(OrderMessage order) {
    return order.action() == OrderMessage.OrderActionName.LOAD_VERSION
        ? memory.isVersionLoaded(order.version())
        : memory.isAdapterLoaded(EngineMemory.adapterKey(order.version(), order.adapter()));
  }

  private Future<Void> weights(OrderMessage order) {
    if (order.action() == OrderMessage.OrderActionName.LOAD_ADAPTER) {
      return delay(options.adapterLoadMilliseconds());
    }
    return fetchWeights(order).compose(ignored -> delay(options.weightsDelayMilliseconds()));
  }

  private Future<Void> fetchWeights(OrderMessage order) {
    if (options.weights().isEmpty()) {
      return Future.succeededFuture();
    }
    String[] address = options.weights().get().split(":");
    return client
        .request(
            HttpMethod.POST, Integer.parseInt(address[1]), address[0], "/loads/" + order.version())
        .compose(request -> request.send().compose(HttpClientResponse::end))
        .recover(failure -> delay(1_000).compose(ignored -> fetchWeights(order)));
  }

  private Future<Void> delay(long milliseconds) {
    if (milliseconds <= 0) {
      return Future.succeededFuture();
    }
    Promise<Void> promise = Promise.promise();
    vertx.setTimer(milliseconds, ignored -> promise.complete());
    return promise.future();
  }
}
