package org.agatefield.daemon.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.engine.EngineOrder;
import org.agatefield.engine.OrderAction;
import org.agatefield.engine.OrderResult;
import org.agatefield.model.Adapter;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/** Orders an adapter that an engine says it does not hold. Stateless. */
final class AdapterOrder {
  private AdapterOrder() {}

  /** Completes once the engine holds the adapter of the attempt. */
  static CompletableFuture<Void> send(CallerApiDependencies dependencies, Dispatch dispatch) {
    String name = dispatch.adapter().orElseThrow();
    Optional<Adapter> adapter = dependencies.configuration().current().adapter(name);
    if (adapter.isEmpty()) {
      return CompletableFuture.failedFuture(notLoaded(name, "it is no longer configured"));
    }
    EngineOrder order =
        new EngineOrder(
            OrderAction.LOAD_ADAPTER,
            dispatch.version().orElseThrow().engineName(),
            name,
            adapter.get().memoryMegabytes(),
            0);
    return dependencies
        .engines()
        .order(dispatch.upstream().address(), order)
        .handle((result, failure) -> check(name, result, failure));
  }

  private static Void check(String name, OrderResult result, Throwable failure) {
    if (failure == null && result == OrderResult.DONE) {
      return null;
    }
    throw notLoaded(name, failure == null ? result.name() : failure.getMessage());
  }

  private static AgatefieldException notLoaded(String name, String cause) {
    return new AgatefieldException(
        ErrorKind.NO_UPSTREAM, "the adapter " + name + " was not loaded: " + cause);
  }
}
