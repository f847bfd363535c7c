package org.agatefield.lease;

/**
 * A grant of a lease to a holder for a limited time. Immutable.
 *
 * @param fencingToken larger than that of every earlier grant of the same lease to a new holder
 * @param validUntilNanoseconds time on the holder's monotonic clock at which the grant ends
 */
public record LeaseGrant(long fencingToken, long validUntilNanoseconds) {
  /** The token of the first grant of a lease in a store that never came back from a copy. */
  static final long FIRST_TOKEN = 1;

  /** Returns whether no process has ever held the lease before. */
  public boolean isFirst() {
    return fencingToken == FIRST_TOKEN;
  }
}
