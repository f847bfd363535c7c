package org.agatefield.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses a random upstream; used as a baseline. Not thread safe. */
public final class RandomChooser implements UpstreamChooser {
  private final UniformRandomProvider random;

  /** Creates a chooser that draws from {@code random}. */
  public RandomChooser(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public Optional<Choice> choose(
      RoutingRequest request, List<Candidate> candidates, long nowNanoseconds) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Candidate candidate = candidates.get(random.nextInt(candidates.size()));
    return Optional.of(new Choice(candidate, "policy=random"));
  }
}
