package org.agatefield.admission;

/**
 * A concurrency limit that never changes. Immutable.
 *
 * @param limit the limit, 1 or more
 */
public record FixedLimit(int limit) implements ConcurrencyLimit {
  @Override
  public void succeeded(int outstanding, double usedDeadlineShare) {
    // The limit is fixed.
  }

  @Override
  public void rejected() {
    // The limit is fixed.
  }

  @Override
  public void reported(int running, int waiting) {
    // The limit is fixed.
  }
}
