package org.agatefield.daemon.core;

import java.util.Collection;
import java.util.Set;
import org.agatefield.model.Instance;

/** Lists the entry instances and the leaving upstreams. Thread-safe. */
public interface InstanceDirectory {
  /** Returns this instance with its current state. */
  Instance self();

  /** Returns all instances considered alive, including this one and leaving ones. */
  Collection<Instance> alive();

  /** Returns the names of upstreams that are leaving or have left and receive no new requests. */
  Set<String> leavingUpstreams();
}
