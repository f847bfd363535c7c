package org.agatefield.model;

import java.util.Set;

/**
 * A loaded version on a runner, as input for routing. Immutable.
 *
 * @param version the loaded version
 * @param upstream the name of the runner that holds it
 * @param draining whether new requests should go to another replica if there is one
 * @param adapters adapters that may be loaded there, as memory is reserved for them
 */
public record Replica(VersionId version, String upstream, boolean draining, Set<String> adapters) {
  /** Copies the set. */
  public Replica {
    adapters = Set.copyOf(adapters);
  }
}
