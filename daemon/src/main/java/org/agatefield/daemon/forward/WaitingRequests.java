package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Holds requests that wait for a runner with capacity, most urgent first.
 *
 * <p>Requests are retried when conditions change, and at short intervals while any wait. Confined
 * to one event loop.
 */
final class WaitingRequests {
  private static final long RETRY_MILLISECONDS = 60; // Well below the shortest objective.

  private final Vertx vertx;
  private final List<WaitingRequest> waiting = new ArrayList<>();
  private boolean scheduled;

  /** A waiting request. */
  interface WaitingRequest {
    /** The priority; lower values are more urgent. */
    int priority();

    /** The time by which the request must be answered, in monotonic milliseconds. */
    long deadline();

    /** Identifies the limited runners from which the request needs a permit; empty if none. */
    Optional<String> permitKey();

    /** Selects a runner again; the request is no longer waiting unless it registers again. */
    void retry();
  }

  WaitingRequests(Vertx vertx) {
    this.vertx = vertx;
  }

  void add(WaitingRequest request) {
    waiting.add(request);
    schedule();
  }

  void remove(WaitingRequest request) {
    waiting.remove(request);
  }

  int size() {
    return waiting.size();
  }

  /** Returns the number of requests that wait for a permit of the given runners. */
  long countWaitingForPermit(String key) {
    return waiting.stream()
        .filter(request -> request.permitKey().filter(key::equals).isPresent())
        .count();
  }

  /** Retries all waiting requests. */
  void retryAll() {
    if (waiting.isEmpty()) {
      return;
    }
    List<WaitingRequest> retried = new ArrayList<>(waiting);
    waiting.clear();
    retried.sort(
        Comparator.comparingInt(WaitingRequest::priority)
            .thenComparingLong(WaitingRequest::deadline));
    retried.forEach(WaitingRequest::retry);
  }

  private void schedule() {
    if (scheduled) {
      return;
    }
    scheduled = true;
    vertx.setTimer(
        RETRY_MILLISECONDS,
        fired -> {
          scheduled = false;
          retryAll();
        });
  }
}
