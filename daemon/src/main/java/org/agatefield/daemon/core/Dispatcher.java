package org.agatefield.daemon.core;

import java.util.concurrent.CompletableFuture;

/**
 * Admits requests and chooses their upstreams. Every request to an upstream goes through it.
 *
 * <p>Futures fail with {@link org.agatefield.model.AgatefieldException}, which means that nothing
 * was sent for this attempt. Refusals are returned without delay. Thread-safe.
 */
public interface Dispatcher {
  /**
   * Waits for admission, then chooses a replica. Cancelling the future removes the request from the
   * queue.
   */
  CompletableFuture<Dispatch> acquire(ModelRequest request);

  /** Waits for admission, then chooses a runner of the service. */
  CompletableFuture<Dispatch> acquire(ServiceRequest request);

  /**
   * Chooses another upstream after {@code failed} did not return a complete response, if the retry
   * budget allows it; finishes {@code failed}.
   */
  CompletableFuture<Dispatch> reacquire(Dispatch failed, DispatchOutcome outcome);
}
