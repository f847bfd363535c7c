package org.agatefield.routing;

import java.util.List;
import java.util.Optional;

/** Chooses between upstreams that hold what a request needs. Confined to one thread at a time. */
public interface UpstreamChooser {
  /**
   * Returns the upstream to send to; empty only if there are no candidates.
   *
   * @param candidates upstreams with a place for the request
   */
  Optional<Choice> choose(RoutingRequest request, List<Candidate> candidates, long nowNanoseconds);

  /** Learns that the request was sent to the upstream. */
  default void sent(RoutingRequest request, String upstream) {}
}
