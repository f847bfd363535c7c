package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws a runner, the more likely the less a request is expected to cost there: the time to its
 * first event, the way, the adapter and the delay that it causes to others, all in milliseconds.
 *
 * <p>Suited to many instances that choose at the same time with the same view, some hundred
 * milliseconds old: always taking the best would send what arrives in that time to one runner. The
 * scale on which the probability falls grows with the age of the view, as the differences that
 * others have evened out since then do. Stateless and thread safe.
 */
public final class LikelyBestChooser implements RunnerChooser {
  // Crossing domains pays off if it saves about a tenth of the usual one-second objective.
  private static final double DOMAIN_CROSSING_MILLISECONDS = 60;
  private static final double REGION_CROSSING_MILLISECONDS = 250;
  private static final double ADAPTER_LOAD_MILLISECONDS = 25;
  private static final double MINIMUM_SCALE_MILLISECONDS = 8;
  private static final double SCALE_PER_AGE = 0.1;

  private final UniformRandomProvider random;

  /** Creates a chooser. */
  public LikelyBestChooser(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public Optional<RunnerCandidate> choose(List<RunnerCandidate> candidates) {
    int size = candidates.size();
    double[] weights = new double[size];
    double least = Double.MAX_VALUE;
    double age = 0;
    for (int index = 0; index < size; index++) {
      RunnerCandidate candidate = candidates.get(index);
      weights[index] = costMilliseconds(candidate);
      least = Math.min(least, weights[index]);
      age = Math.max(age, candidate.outlook().viewAgeMilliseconds());
    }
    double scale = MINIMUM_SCALE_MILLISECONDS + SCALE_PER_AGE * age;
    double sum = 0;
    for (int index = 0; index < size; index++) {
      weights[index] = Math.exp((least - weights[index]) / scale);
      sum += weights[index];
    }
    double draw = random.nextDouble() * sum;
    for (int index = 0; index < size; index++) {
      draw -= weights[index];
      if (draw < 0) {
        return Optional.of(candidates.get(index));
      }
    }
    return size == 0 ? Optional.empty() : Optional.of(candidates.get(size - 1));
  }

  private static double costMilliseconds(RunnerCandidate candidate) {
    double crossing =
        switch (candidate.distance()) {
          case SAME_DOMAIN -> 0;
          case SAME_REGION -> DOMAIN_CROSSING_MILLISECONDS;
          case OTHER_REGION -> REGION_CROSSING_MILLISECONDS;
        };
    double adapter = candidate.adapterPresent() ? 0 : ADAPTER_LOAD_MILLISECONDS;
    return crossing
        + adapter
        + candidate.firstEventMilliseconds()
        + candidate.outlook().delayToOthersMilliseconds();
  }
}
