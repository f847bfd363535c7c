package org.agatefield.daemon.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.forward.wire.RunnerOrder.Action;

/** One load or unload step for a runner. Confined to one event loop. */
final class EngineTask {
  private final Action action;
  private final String model;
  private final Optional<String> adapter;
  private final CompletableFuture<Boolean> done = new CompletableFuture<>();
  private int tries;
  private boolean accepted;
  private long acceptedAsNumber = Long.MAX_VALUE;
  private boolean outcomeUnknown;
  private boolean retryScheduled;
  private boolean awaitingContact;

  EngineTask(Action action, String model, Optional<String> adapter) {
    this.action = action;
    this.model = model;
    this.adapter = adapter;
  }

  Action action() {
    return action;
  }

  String model() {
    return model;
  }

  Optional<String> adapter() {
    return adapter;
  }

  /**
   * Returns what is loaded or unloaded: a model, or an adapter written as {@code model/adapter}.
   */
  String load() {
    return adapter.map(name -> model + '/' + name).orElse(model);
  }

  /** Completes with whether the step succeeded. */
  CompletableFuture<Boolean> done() {
    return done;
  }

  int tries() {
    return tries;
  }

  void countTry() {
    tries++;
  }

  boolean isAccepted() {
    return accepted;
  }

  /**
   * Records that the runner has accepted the order.
   *
   * @param number the number of orders that the runner has accepted with this one
   */
  void accept(long number) {
    accepted = true;
    acceptedAsNumber = number;
  }

  /** Returns the number of orders that the runner had accepted with this one. */
  long acceptedAsNumber() {
    return acceptedAsNumber;
  }

  /** Returns whether an order was sent that may or may not have been accepted. */
  boolean isOutcomeUnknown() {
    return outcomeUnknown;
  }

  void setOutcomeUnknown(boolean unknown) {
    outcomeUnknown = unknown;
  }

  boolean isForAdapter() {
    return adapter.isPresent();
  }

  boolean isLoadOf(String wantedModel, String wantedAdapter) {
    return action == Action.LOAD
        && model.equals(wantedModel)
        && adapter.equals(Optional.of(wantedAdapter));
  }

  /** Returns whether the order will be sent again by a timer. */
  boolean isRetryScheduled() {
    return retryScheduled;
  }

  void setRetryScheduled(boolean scheduled) {
    retryScheduled = scheduled;
  }

  /** Returns whether the order is sent once the runner has responded to a report request. */
  boolean isAwaitingContact() {
    return awaitingContact;
  }

  void setAwaitingContact(boolean awaiting) {
    awaitingContact = awaiting;
  }
}
