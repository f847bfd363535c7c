package org.agatefield.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the upstreams in turn; used as a baseline. Not thread safe. */
public final class RoundRobinChooser implements UpstreamChooser {
  private int turn;

  @Override
  public Optional<Choice> choose(
      RoutingRequest request, List<Candidate> candidates, long nowNanoseconds) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Candidate candidate = candidates.get(Math.floorMod(turn, candidates.size()));
    turn++;
    return Optional.of(new Choice(candidate, "policy=round-robin"));
  }
}
