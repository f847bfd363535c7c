package org.agatefield.admission;

/** Allows every retry; used as a baseline. Immutable. */
public final class UnlimitedRetries implements RetryPolicy {
  @Override
  public void firstAttempt() {
    // No budget is tracked.
  }

  @Override
  public boolean mayRetry() {
    return true;
  }
}
