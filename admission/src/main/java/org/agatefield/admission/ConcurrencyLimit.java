package org.agatefield.admission;

/** Limits the number of requests in flight at one runner. Not thread safe. */
public interface ConcurrencyLimit {
  /** Returns the limit, 1 or more. */
  int limit();

  /**
   * Adjusts the limit to a request that was answered.
   *
   * @param outstanding requests in flight at the runner when the answer ended
   * @param usedDeadlineShare time from sending to the complete answer, as a share of the time from
   *     arrival to the deadline
   */
  void succeeded(int outstanding, double usedDeadlineShare);

  /** Adjusts the limit after the runner refused a request because it is overloaded. */
  void rejected();

  /**
   * Adjusts the limit to a load report.
   *
   * @param running requests that the runner is executing
   * @param waiting requests queued inside the runner
   */
  void reported(int running, int waiting);
}
