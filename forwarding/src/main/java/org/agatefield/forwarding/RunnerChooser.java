package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;

/** Chooses a runner for a request. Implementations need not be thread safe. */
public interface RunnerChooser {
  /** Returns the chosen runner; empty only if there are no candidates. */
  Optional<RunnerCandidate> choose(List<RunnerCandidate> candidates);
}
