package org.agatefield.admission;

/**
 * Gives shedding policies access to the state of a queue. Not thread safe; guarded by the lock of
 * the queue.
 */
public interface QueueView {
  /** Returns how many requests wait for the target of {@code request}. */
  int waitingFor(QueuedRequest request);

  /** Returns the expected time until {@code request} would leave the queue, in nanoseconds. */
  long expectedWaitNanoseconds(QueuedRequest request);

  /** Returns the expected time from leaving the queue to the complete answer, in nanoseconds. */
  long expectedServiceNanoseconds(QueuedRequest request);
}
