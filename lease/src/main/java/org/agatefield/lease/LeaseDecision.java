package org.agatefield.lease;

/** What a process is to do about a lease. */
public sealed interface LeaseDecision {
  /** Create the lease, if there is none. */
  record Create(LeaseRecord lease) implements LeaseDecision {}

  /** Replace the lease, if it still has that version. */
  record Update(String expectedVersion, LeaseRecord lease) implements LeaseDecision {}

  /** Read the lease again after a while. */
  record Wait(long nanoseconds) implements LeaseDecision {}
}
