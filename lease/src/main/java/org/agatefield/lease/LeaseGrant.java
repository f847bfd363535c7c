package org.agatefield.lease;

/**
 * Proof that a holder has a lease for a while. Immutable.
 *
 * @param fencingToken larger than that of every earlier grant of the same lease to a new holder
 * @param validUntilNanoseconds the monotonic time of the holder at which the grant ends
 */
public record LeaseGrant(long fencingToken, long validUntilNanoseconds) {}
