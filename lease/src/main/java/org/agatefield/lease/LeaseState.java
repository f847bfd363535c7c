package org.agatefield.lease;

import java.util.Optional;

/**
 * What a process knows of a lease. Immutable.
 *
 * @param observed the lease as last seen in the store; empty if none was seen or it is out of date
 * @param grant the last grant to this process, which may have ended
 */
public record LeaseState(Optional<Observation> observed, Optional<LeaseGrant> grant) {
  /** Returns the state of a process that knows nothing. */
  public static LeaseState unknown() {
    return new LeaseState(Optional.empty(), Optional.empty());
  }

  /** Returns the grant if it holds at a moment. */
  public Optional<LeaseGrant> grantAt(long nowNanoseconds) {
    return grant.filter(held -> nowNanoseconds - held.validUntilNanoseconds() < 0);
  }

  /**
   * A lease as it was seen in the store. Immutable.
   *
   * @param version the store's version, opaque but for equality
   * @param lease the lease
   * @param unchangedSinceNanoseconds when this version was first seen, by the own monotonic clock
   */
  public record Observation(String version, LeaseRecord lease, long unchangedSinceNanoseconds) {}
}
