package org.agatefield.admission;

/** Bounds how many further attempts are made upstream. Confined to the thread that holds it. */
public interface RetryPolicy {
  /** Records a first attempt. */
  void firstAttempt();

  /** Returns whether a further attempt may be made now, and counts it if so. */
  boolean mayRetry();
}
