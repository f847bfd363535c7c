package org.agatefield.admission;

/**
 * Work that waits for room, as both edges of the system order it. Implementations keep the values
 * unchanged while the work waits; confined to the thread of the queue.
 */
public interface WaitingWork {
  /** Returns a number that is unique among the work of one queue; later work has a higher one. */
  long id();

  /** Returns the name of the caller or client account that the work belongs to. */
  String caller();

  /** Returns the weight of the caller relative to others, above 0. */
  int weight();

  /** Returns the expected cost in units that are comparable within a queue, above 0. */
  double cost();

  /** Returns the urgency; lower ranks are more urgent. */
  int rank();

  /** Returns the time by which the work is due, on the clock of its queue. */
  long dueAt();
}
