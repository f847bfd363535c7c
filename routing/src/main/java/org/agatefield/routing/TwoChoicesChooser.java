package org.agatefield.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws two upstreams and chooses the less loaded one; used as a baseline. Not thread safe. */
public final class TwoChoicesChooser implements UpstreamChooser {
  private final UniformRandomProvider random;

  /** Creates a chooser that draws from {@code random}. */
  public TwoChoicesChooser(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public Optional<Choice> choose(
      RoutingRequest request, List<Candidate> candidates, long nowNanoseconds) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Candidate first = candidates.get(random.nextInt(candidates.size()));
    Candidate second = candidates.get(random.nextInt(candidates.size()));
    Candidate chosen = second.outstanding() < first.outstanding() ? second : first;
    return Optional.of(new Choice(chosen, "policy=two-choices"));
  }
}
