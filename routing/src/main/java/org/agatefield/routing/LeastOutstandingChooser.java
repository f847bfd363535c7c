package org.agatefield.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the upstream with the fewest outstanding requests; used as a baseline. Immutable. */
public final class LeastOutstandingChooser implements UpstreamChooser {
  @Override
  public Optional<Choice> choose(
      RoutingRequest request, List<Candidate> candidates, long nowNanoseconds) {
    return candidates.stream()
        .min(Comparator.comparingInt(Candidate::outstanding))
        .map(
            candidate ->
                new Choice(
                    candidate, "policy=least-outstanding outstanding=" + candidate.outstanding()));
  }
}
