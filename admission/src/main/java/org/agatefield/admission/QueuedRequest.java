package org.agatefield.admission;

import org.agatefield.model.Priority;

/**
 * A request as the admission queue handles it. Immutable.
 *
 * @param id unique among the requests of one queue
 * @param target the requested deployment or service; requests for one target are interchangeable
 * @param caller the caller's name
 * @param weight the caller's weight relative to other callers in fair queueing, above 0
 * @param priority the priority; higher ones are served first
 * @param arrivalNanoseconds time of arrival
 * @param deadlineNanoseconds time by which the complete answer is due
 * @param bytes size of the body that is held in memory while the request waits
 * @param cost expected cost in units that are comparable within a target, above 0
 */
public record QueuedRequest(
    long id,
    String target,
    String caller,
    int weight,
    Priority priority,
    long arrivalNanoseconds,
    long deadlineNanoseconds,
    long bytes,
    double cost)
    implements WaitingWork {

  /** Checks the weight and the cost. */
  public QueuedRequest {
    if (weight < 1) {
      throw new IllegalArgumentException("weight: " + weight + " is not above 0");
    }
    if (!(cost > 0)) {
      throw new IllegalArgumentException("cost: " + cost + " is not above 0");
    }
  }

  @Override
  public int rank() {
    return Priority.INTERACTIVE.ordinal() - priority.ordinal();
  }

  @Override
  public long dueAt() {
    return deadlineNanoseconds;
  }
}
