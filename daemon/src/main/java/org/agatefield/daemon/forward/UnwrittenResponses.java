package org.agatefield.daemon.forward;

import io.vertx.core.Future;

/**
 * Counts complete responses that the operating system has not accepted to their last byte, as their
 * callers read slowly; they would be lost if their connections were closed.
 *
 * <p>Responses are added on one event loop; any thread may read the count.
 */
final class UnwrittenResponses {
  private volatile int count; // Written by the event loop only.

  /** Adds a response until its last write completes or its connection closes. */
  void add(Future<Void> lastWrite) {
    count++;
    lastWrite.onComplete(written -> count--);
  }

  int count() {
    return count;
  }
}
