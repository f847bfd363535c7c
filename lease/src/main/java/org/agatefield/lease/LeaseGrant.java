package org.agatefield.lease;

/**
 * A grant of a lease to a holder for a limited time. Immutable.
 *
 * @param fencingToken larger than that of every earlier grant of the same lease to a new holder
 * @param validUntilNanoseconds time on the holder's monotonic clock at which the grant ends
 */
public record LeaseGrant(long fencingToken, long validUntilNanoseconds) {}
