package org.agatefield.admission;

/**
 * A limit that never changes. Immutable.
 *
 * @param limit the limit, 1 or more
 */
public record FixedLimit(int limit) implements ConcurrencyLimit {
  @Override
  public void succeeded(int outstanding, double usedOfDeadline) {
    // Nothing is learnt.
  }

  @Override
  public void rejected() {
    // Nothing is learnt.
  }

  @Override
  public void reported(int running, int waiting) {
    // Nothing is learnt.
  }
}
