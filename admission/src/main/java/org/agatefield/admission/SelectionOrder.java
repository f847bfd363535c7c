package org.agatefield.admission;

import java.util.List;

/**
 * Chooses between waiting requests of one priority. Confined to the thread that holds the queue.
 */
public interface SelectionOrder {
  /**
   * Returns the request that the resource serves next and counts it as served.
   *
   * @param resource the name of the runner that has a place
   * @param heads one request for each target and caller, at least one
   */
  QueuedRequest choose(String resource, List<QueuedRequest> heads);
}
