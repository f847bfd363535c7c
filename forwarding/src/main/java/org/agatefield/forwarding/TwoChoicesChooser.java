package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Takes the cheaper of two runners drawn at random; used as a baseline. Not thread safe. */
public final class TwoChoicesChooser implements RunnerChooser {
  private final UniformRandomProvider random;

  /** Creates a chooser. */
  public TwoChoicesChooser(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public Optional<RunnerCandidate> choose(List<RunnerCandidate> candidates) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    RunnerCandidate first = candidates.get(random.nextInt(candidates.size()));
    RunnerCandidate second = candidates.get(random.nextInt(candidates.size()));
    boolean firstIsCheaper = ExpectedCost.milliseconds(first) <= ExpectedCost.milliseconds(second);
    return Optional.of(firstIsCheaper ? first : second);
  }
}
