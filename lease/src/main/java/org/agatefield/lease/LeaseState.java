package org.agatefield.lease;

import java.util.Optional;

/**
 * The state of a lease as known to one process. Immutable.
 *
 * @param observed the lease as last read from the store; empty if none was found or it is outdated
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
   * A lease as read from the store. Immutable.
   *
   * @param version the version of the stored object; only compared for equality
   * @param lease the lease
   * @param unchangedSinceNanoseconds time on this process's monotonic clock at which the version
   *     was first read
   */
  public record Observation(String version, LeaseRecord lease, long unchangedSinceNanoseconds) {}
}
