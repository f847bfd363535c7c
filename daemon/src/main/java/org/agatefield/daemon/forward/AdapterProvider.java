package org.agatefield.daemon.forward;

import java.util.concurrent.CompletableFuture;

/** Requests adapter loads. Called on, and completes on, the event loop. */
@FunctionalInterface
interface AdapterProvider {
  /** Completes with whether the runner has the adapter now; never fails. */
  CompletableFuture<Boolean> ensure(String runner, String model, String adapter);

  /** Tells the planner that an adapter that is present is used, so that it stays loaded. */
  default void used(String runner, String model, String adapter) {}
}
