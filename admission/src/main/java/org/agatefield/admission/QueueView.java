package org.agatefield.admission;

/** What a shedding policy may know of a queue. Confined to the thread that holds the queue. */
public interface QueueView {
  /** Returns how many requests wait for the target of {@code request}. */
  int waitingFor(QueuedRequest request);

  /** Returns the expected time until {@code request} would leave the queue, in nanoseconds. */
  long expectedWaitNanoseconds(QueuedRequest request);

  /** Returns the expected time from leaving the queue to the whole answer, in nanoseconds. */
  long expectedServiceNanoseconds(QueuedRequest request);
}
