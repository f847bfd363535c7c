package org.agatefield.daemon.core;

import java.util.concurrent.CompletableFuture;

/**
 * Runs calls that must not repeat at most once, however often and wherever they are sent.
 *
 * <p>Invariant: for each caller, service and key, senders are invoked at most once over all
 * instances, except after proof that the earlier invocation sent nothing. Safe for use by any
 * thread.
 */
public interface NonRepeatableCallExecutor {
  /**
   * Returns the whole answer of the one execution, from now or from before.
   *
   * @param dispatcher chooses the upstream after the key is known to be new, before the claim
   */
  CompletableFuture<ServiceResponse> execute(
      NonRepeatableCall call,
      ServiceRequest request,
      Dispatcher dispatcher,
      NonRepeatableCall.Sender sender);

  /** Returns the number of calls that this instance has claimed and not yet recorded. */
  int runningCalls();
}
