package org.agatefield.daemon.forward;

import java.util.concurrent.CompletableFuture;

/** Has adapters loaded. Called on, and completes on, the event loop. */
@FunctionalInterface
interface AdapterProvider {
  /** Completes with whether the runner has the adapter now; never fails. */
  CompletableFuture<Boolean> ensure(String runner, String model, String adapter);
}
