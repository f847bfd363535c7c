package org.agatefield.daemon.core;

import java.util.concurrent.CompletableFuture;

/**
 * Executes each non-repeatable call at most once, however often and at whichever instances it
 * arrives.
 *
 * <p>Invariant: for each caller, service and key, a sender is invoked at most once across all
 * instances, except after proof that the earlier invocation sent nothing. Thread-safe.
 */
public interface NonRepeatableCallExecutor {
  /**
   * Returns the complete response of the single execution, which may have happened earlier.
   *
   * @param dispatcher chooses the upstream after the key was found to be new and before it is
   *     claimed
   */
  CompletableFuture<ServiceResponse> execute(
      NonRepeatableCall call,
      ServiceRequest request,
      Dispatcher dispatcher,
      NonRepeatableCall.Sender sender);

  /**
   * Returns the number of calls that this instance has claimed without having recorded the outcome.
   */
  int runningCalls();
}
