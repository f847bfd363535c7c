package org.agatefield.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses among upstreams that hold what a request needs. Implementations need not be thread safe.
 */
public interface UpstreamChooser {
  /**
   * Returns the upstream to send to; empty only if there are no candidates.
   *
   * @param candidates upstreams with capacity for the request
   */
  Optional<Choice> choose(RoutingRequest request, List<Candidate> candidates, long nowNanoseconds);

  /** Records that the request was sent to the upstream. */
  default void sent(RoutingRequest request, String upstream) {}
}
