package org.agatefield.daemon.core;

import java.util.concurrent.CompletableFuture;

/**
 * Admits requests and chooses their upstreams; the only way from a request to an upstream.
 *
 * <p>Futures fail with {@link org.agatefield.model.AgatefieldException}; every such failure means
 * that nothing was sent. A request that is refused is refused at once. Safe for use by any thread.
 */
public interface Dispatcher {
  /** Waits for admission, then chooses a replica. Cancelling the future leaves the queue. */
  CompletableFuture<Dispatch> acquire(ModelRequest request);

  /** Waits for admission, then chooses a runner of the service. */
  CompletableFuture<Dispatch> acquire(ServiceRequest request);

  /**
   * Chooses another upstream after {@code failed} did not give a whole answer, if the retry budget
   * allows it; finishes {@code failed}.
   */
  CompletableFuture<Dispatch> reacquire(Dispatch failed, DispatchOutcome outcome);
}
