package org.agatefield.daemon.calls;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.NonRepeatableCall;
import org.agatefield.daemon.core.ServiceResponse;

/** Queries a service for the outcome of an idempotency key. Thread-safe. */
@FunctionalInterface
public interface OutcomeQuery {
  /** Always returns an empty outcome. */
  OutcomeQuery NONE = call -> CompletableFuture.completedFuture(Optional.empty());

  /**
   * Returns the service's response to the call with the key; empty if the service does not return
   * one.
   *
   * <p>Called only if {@link org.agatefield.model.PlainService#outcomePath} is present. An empty
   * result never causes another execution.
   */
  CompletableFuture<Optional<ServiceResponse>> ask(NonRepeatableCall call);
}
