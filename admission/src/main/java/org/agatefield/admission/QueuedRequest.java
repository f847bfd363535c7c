package org.agatefield.admission;

import org.agatefield.model.Priority;

/**
 * A request as admission sees it. Immutable.
 *
 * @param id unique among the requests of one queue
 * @param target the deployment or service asked for; requests for one target are interchangeable
 * @param caller the caller's name
 * @param weight the caller's fair share relative to other callers, above 0
 * @param priority the order in which waiting work is served
 * @param arrivalNanoseconds when the request came
 * @param deadlineNanoseconds when the whole answer must be there
 * @param bytes size of the body that is held while the request waits
 * @param cost expected work in units that are comparable within a target, above 0
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
    double cost) {

  /** Checks the weight and the cost. */
  public QueuedRequest {
    if (weight < 1) {
      throw new IllegalArgumentException("weight: " + weight + " is not above 0");
    }
    if (!(cost > 0)) {
      throw new IllegalArgumentException("cost: " + cost + " is not above 0");
    }
  }
}
