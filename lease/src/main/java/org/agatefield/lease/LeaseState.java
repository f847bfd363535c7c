package org.agatefield.lease;

import java.util.Optional;

/**
 * The state of a lease as known to one process. Immutable.
 *
 * @param observed the lease as last read from the store; empty before the first read
 * @param grant the last grant to this process, which may have ended
 */
public record LeaseState(Optional<Observation> observed, Optional<LeaseGrant> grant) {
  /** Returns the state before the first read. */
  public static LeaseState unknown() {
    return new LeaseState(Optional.empty(), Optional.empty());
  }

  /** Returns the grant if it is valid at a given time. */
  public Optional<LeaseGrant> grantAt(long nowNanoseconds) {
    return grant.filter(held -> nowNanoseconds - held.validUntilNanoseconds() < 0);
  }

  /**
   * A lease as read from the store, or its absence. Immutable.
   *
   * @param version the version of the stored object; that of an absent lease has no text
   * @param lease the lease; empty if there is none
   * @param unchangedSinceNanoseconds time on this process's monotonic clock at which the version
   *     was first read
   */
  public record Observation(
      LeaseVersion version, Optional<LeaseRecord> lease, long unchangedSinceNanoseconds) {}
}
