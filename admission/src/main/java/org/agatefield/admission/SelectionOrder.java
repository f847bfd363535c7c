package org.agatefield.admission;

import java.util.List;

/**
 * Selects among waiting requests of one priority. Not thread safe; guarded by the lock of the
 * queue.
 */
public interface SelectionOrder {
  /**
   * Returns the request that the resource serves next and counts it as served.
   *
   * @param resource the name of the runner that has a free slot
   * @param heads one request for each target and caller, at least one
   */
  QueuedRequest choose(String resource, List<QueuedRequest> heads);
}
