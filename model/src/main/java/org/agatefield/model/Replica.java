package org.agatefield.model;

import java.util.Set;

/**
 * A loaded version on a runner, as routing sees it. Immutable.
 *
 * @param version what is loaded
 * @param upstream the name of the runner that holds it
 * @param draining whether new requests should go to another replica where there is one
 * @param adapters adapters that have memory reserved beside the version and may be loaded there
 */
public record Replica(VersionId version, String upstream, boolean draining, Set<String> adapters) {
  /** Copies the set. */
  public Replica {
    adapters = Set.copyOf(adapters);
  }
}
