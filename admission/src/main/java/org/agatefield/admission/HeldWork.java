package org.agatefield.admission;

/**
 * Work that waits at the edge of callers, with what its caller still expects. Implementations keep
 * the values unchanged while the work waits; confined to the thread of the queue.
 */
public interface HeldWork extends WaitingWork {
  /** Returns the service that the work is for. */
  String service();

  /** Returns the time by which it has to begin to meet its objective. */
  long objectiveAt();

  /** Returns whether its caller was refused before and has come back. */
  boolean returned();
}
