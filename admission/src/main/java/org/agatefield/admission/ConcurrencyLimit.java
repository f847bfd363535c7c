package org.agatefield.admission;

/** How many requests one runner gets at once. Confined to the thread that holds it. */
public interface ConcurrencyLimit {
  /** Returns the limit, 1 or more. */
  int limit();

  /**
   * Learns from an answered request.
   *
   * @param outstanding requests that the runner had when the answer ended
   * @param usedOfDeadline time from sending to the whole answer as a share of the time from arrival
   *     to the deadline
   */
  void succeeded(int outstanding, double usedOfDeadline);

  /** Learns that the runner refused a request because it is overloaded. */
  void rejected();

  /** Learns from a load report how many requests wait inside the runner. */
  void reported(int running, int waiting);
}
