package org.agatefield.admission;

/** Limits retries to upstreams. Not thread safe. */
public interface RetryPolicy {
  /** Records a first attempt. */
  void firstAttempt();

  /** Returns whether a retry may be made now, and counts it if so. */
  boolean mayRetry();
}
