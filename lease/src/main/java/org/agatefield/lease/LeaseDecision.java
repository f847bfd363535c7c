package org.agatefield.lease;

/** The next action of a process for a lease. */
public sealed interface LeaseDecision {
  /** Create the lease if it does not exist. */
  record Create(LeaseRecord lease) implements LeaseDecision {}

  /** Replace the lease if it still has the expected version. */
  record Update(LeaseVersion expectedVersion, LeaseRecord lease) implements LeaseDecision {}

  /** Read the lease again after this time. */
  record Wait(long nanoseconds) implements LeaseDecision {}
}
