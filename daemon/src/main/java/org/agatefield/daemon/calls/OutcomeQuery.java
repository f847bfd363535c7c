package org.agatefield.daemon.calls;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.NonRepeatableCall;
import org.agatefield.daemon.core.ServiceResponse;

/** Asks a service for the outcome of an idempotency key. Safe for use by any thread. */
@FunctionalInterface
public interface OutcomeQuery {
  /** Knows no outcome. */
  OutcomeQuery NONE = call -> CompletableFuture.completedFuture(Optional.empty());

  /**
   * Returns the answer that the service gave to the key; empty if it does not say.
   *
   * <p>Only asked if {@link org.agatefield.model.PlainService#outcomePath} is present. An empty
   * answer never leads to another execution.
   */
  CompletableFuture<Optional<ServiceResponse>> ask(NonRepeatableCall call);
}
