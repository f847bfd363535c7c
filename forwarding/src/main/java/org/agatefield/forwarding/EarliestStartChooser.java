package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the runner whose answer is expected to begin first, with the way there as part of the
 * time.
 *
 * <p>Answers the load pattern of prompts that differ tenfold in size and of runners that are busy
 * reading: the number of requests says little there, the tokens yet to be read say when the next
 * one begins. Runners nearby are preferred by the time that a crossing takes and, as crossings are
 * paid by volume, by a margin beside it. Stateless and safe for use by any thread.
 */
public final class EarliestStartChooser implements RunnerChooser {
  // A crossing is worth it when it saves about a tenth of the usual one-second objective.
  private static final double DOMAIN_CROSSING_MILLISECONDS = 60;
  private static final double REGION_CROSSING_MILLISECONDS = 250;
  // One more stream lengthens each step of the others.
  private static final double MILLISECONDS_PER_RUNNING_REQUEST = 4;
  private static final double ADAPTER_LOAD_MILLISECONDS = 25;

  // Instances that see the same loads would all choose the same runner otherwise.
  private static final double TIE_MILLISECONDS = 8;

  private final UniformRandomProvider random;

  /** Creates a choice that draws among runners that are about equally good. */
  public EarliestStartChooser(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public Optional<RunnerCandidate> choose(List<RunnerCandidate> candidates) {
    OptionalDouble earliest =
        candidates.stream().mapToDouble(EarliestStartChooser::expectedMilliseconds).min();
    if (earliest.isEmpty()) {
      return Optional.empty();
    }
    double limit = earliest.getAsDouble() + TIE_MILLISECONDS;
    List<RunnerCandidate> ties =
        candidates.stream().filter(each -> expectedMilliseconds(each) <= limit).toList();
    return Optional.of(ties.get(random.nextInt(ties.size())));
  }

  private static double expectedMilliseconds(RunnerCandidate candidate) {
    double crossing =
        switch (candidate.distance()) {
          case SAME_DOMAIN -> 0;
          case SAME_REGION -> DOMAIN_CROSSING_MILLISECONDS;
          case OTHER_REGION -> REGION_CROSSING_MILLISECONDS;
        };
    double adapter = candidate.adapterPresent() ? 0 : ADAPTER_LOAD_MILLISECONDS;
    return crossing + candidate.prefillMilliseconds() + adapter + occupancy(candidate);
  }

  private static double occupancy(RunnerCandidate candidate) {
    if (candidate.millisecondsPerRequest() <= 0) {
      return candidate.running() * MILLISECONDS_PER_RUNNING_REQUEST;
    }
    double ahead = Math.max(0, candidate.running() + 1 - candidate.slots());
    double share = (double) candidate.running() / Math.max(1, candidate.slots());
    return (ahead / Math.max(1, candidate.slots()) + share) * candidate.millisecondsPerRequest();
  }
}
