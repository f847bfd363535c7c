package org.agatefield.lease;

/**
 * A lease as it lies in the store. Immutable.
 *
 * @param holder the holder's identifier, never used again by a later process; empty if released
 * @param fencingToken rises with every new grant
 * @param durationNanoseconds how long a grant lasts after a write
 */
public record LeaseRecord(String holder, long fencingToken, long durationNanoseconds) {
  /** Returns this lease without a holder. */
  public LeaseRecord released() {
    return new LeaseRecord("", fencingToken, durationNanoseconds);
  }
}
