package org.agatefield.admission;

/** How many requests one runner gets at once. Confined to the thread that holds it. */
public interface ConcurrencyLimit {
  /** Returns the limit, 1 or more. */
  int limit();

  /** Learns from an answered request. */
  void succeeded(int outstanding);

  /** Learns that the runner refused a request because it is overloaded. */
  void rejected();

  /** Learns from a load report how many requests wait inside the runner. */
  void reported(int running, int waiting);
}
