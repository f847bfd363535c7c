package org.agatefield.daemon.core;

import java.util.Optional;
import org.agatefield.lease.LeaseGrant;

/** Whether this instance holds a lease. Safe for use by any thread. */
public interface LeaseView {
  /**
   * Returns the grant if this instance holds the lease at this moment by its monotonic clock.
   *
   * <p>The answer may be out of date by the time it is used; what must not be done twice also
   * carries the fencing token.
   */
  Optional<LeaseGrant> currentGrant();
}
