package org.agatefield.daemon.core;

import java.util.Optional;
import org.agatefield.lease.LeaseGrant;

/** Provides whether this instance holds a lease. Thread-safe. */
public interface LeaseView {
  /**
   * Returns the grant if this instance currently holds the lease according to its monotonic clock.
   *
   * <p>The result may be outdated by the time it is used; actions that must not be performed by two
   * holders also carry the fencing token.
   */
  Optional<LeaseGrant> currentGrant();
}
