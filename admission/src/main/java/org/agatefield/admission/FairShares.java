package org.agatefield.admission;

/**
 * What callers have been given, as the fair order compares it. Not thread safe; guarded by the lock
 * of the queue.
 */
interface FairShares {
  /**
   * Returns how much the caller of some work has been given in proportion to its weight; the caller
   * with the smallest share is served next.
   */
  double share(String resource, WaitingWork work);

  /** Counts work as given to its caller. */
  void serve(String resource, WaitingWork work);
}
