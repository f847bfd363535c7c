package org.agatefield.daemon.core;

import java.util.Collection;
import java.util.Set;
import org.agatefield.model.Instance;

/** The entry instances and the leaving upstreams. Safe for use by any thread. */
public interface InstanceDirectory {
  /** Returns this instance as it is now. */
  Instance self();

  /** Returns every instance believed to be alive, this one included, leaving ones included. */
  Collection<Instance> alive();

  /** Returns the names of upstreams that are leaving or gone and get no new work. */
  Set<String> leavingUpstreams();
}
