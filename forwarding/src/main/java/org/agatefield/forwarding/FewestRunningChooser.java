package org.agatefield.forwarding;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the runner with the fewest running requests, wherever it is located; used as a baseline.
 * Stateless.
 */
public final class FewestRunningChooser implements RunnerChooser {
  @Override
  public Optional<RunnerCandidate> choose(List<RunnerCandidate> candidates) {
    return candidates.stream().min(Comparator.comparingInt(RunnerCandidate::running));
  }
}
