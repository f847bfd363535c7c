package org.agatefield.admission;

/** Allows every further attempt: the baseline. Immutable. */
public final class UnlimitedRetries implements RetryPolicy {
  @Override
  public void firstAttempt() {
    // Nothing is counted.
  }

  @Override
  public boolean mayRetry() {
    return true;
  }
}
