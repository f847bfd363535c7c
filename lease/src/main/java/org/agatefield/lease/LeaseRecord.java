package org.agatefield.lease;

/**
 * A lease as stored. Immutable.
 *
 * @param holder the holder's identifier, never reused by a later process; empty if released
 * @param fencingToken increases with every grant to a new holder and after a grant expired
 * @param durationNanoseconds how long a grant lasts after a write
 */
public record LeaseRecord(String holder, long fencingToken, long durationNanoseconds) {
  /** Returns this lease without a holder. */
  public LeaseRecord released() {
    return new LeaseRecord("", fencingToken, durationNanoseconds);
  }
}
