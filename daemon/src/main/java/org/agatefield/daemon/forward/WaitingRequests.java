package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that wait until a runner can take them, the most urgent first.
 *
 * <p>They are tried again when something changed, and in short intervals while any wait. Confined
 * to one event loop.
 */
final class WaitingRequests {
  private static final long RETRY_MILLISECONDS = 60; // well below the shortest objective

  private final Vertx vertx;
  private final List<Waiting> waiting = new ArrayList<>();
  private boolean scheduled;

  /** A request that waits. */
  interface Waiting {
    /** Lower is more urgent. */
    int priority();

    /** When it must be answered, in monotonic milliseconds. */
    long deadline();

    /** Looks for a runner again; the request waits no more unless it asks to. */
    void retry();
  }

  WaitingRequests(Vertx vertx) {
    this.vertx = vertx;
  }

  void add(Waiting request) {
    waiting.add(request);
    schedule();
  }

  void remove(Waiting request) {
    waiting.remove(request);
  }

  int size() {
    return waiting.size();
  }

  /** Lets all that wait try again. */
  void wake() {
    if (waiting.isEmpty()) {
      return;
    }
    List<Waiting> woken = new ArrayList<>(waiting);
    waiting.clear();
    woken.sort(Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::deadline));
    woken.forEach(Waiting::retry);
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
          wake();
        });
  }
}
