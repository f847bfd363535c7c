package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the runner whose answer is expected to start first, taking the time to reach the runner
 * into account; used as a baseline.
 *
 * <p>Suited to prompts that differ tenfold in size and to runners that are busy with prefill:
 * there, the number of requests says little about the load, while the number of tokens pending
 * prefill determines when the next request can start. Runners in another failure domain are charged
 * the latency of the crossing and, since traffic between domains is billed by volume, an additional
 * margin. Stateless and thread safe.
 */
public final class EarliestStartChooser implements RunnerChooser {
  // Each additional stream lengthens every decoding step of the others.
  private static final double MILLISECONDS_PER_RUNNING_REQUEST = 4;

  // Without random ties, instances with the same view of the loads would all choose the same
  // runner.
  private static final double TIE_MILLISECONDS = 8;

  private final UniformRandomProvider random;

  /** Creates a chooser that draws among runners that are about equally good. */
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
    double crossing = ExpectedCost.crossingMilliseconds(candidate.distance());
    double adapter = candidate.adapterPresent() ? 0 : ExpectedCost.ADAPTER_LOAD_MILLISECONDS;
    return crossing + candidate.prefillMilliseconds() + adapter + queueingMilliseconds(candidate);
  }

  private static double queueingMilliseconds(RunnerCandidate candidate) {
    if (candidate.millisecondsPerRequest() <= 0) {
      return candidate.running() * MILLISECONDS_PER_RUNNING_REQUEST;
    }
    double ahead = Math.max(0, candidate.running() + 1 - candidate.slots());
    double share = (double) candidate.running() / Math.max(1, candidate.slots());
    return (ahead / Math.max(1, candidate.slots()) + share) * candidate.millisecondsPerRequest();
  }
}
