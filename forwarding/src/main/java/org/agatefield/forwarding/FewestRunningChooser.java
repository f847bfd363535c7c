package org.agatefield.forwarding;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The baseline: the runner with the fewest requests, wherever it lies. Stateless. */
public final class FewestRunningChooser implements RunnerChooser {
  @Override
  public Optional<RunnerCandidate> choose(List<RunnerCandidate> candidates) {
    return candidates.stream().min(Comparator.comparingInt(RunnerCandidate::running));
  }
}
