package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import org.agatefield.forwarding.RunnerCandidate.Distance;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws a runner, the more likely the faster it is and the less the request is expected to cost
 * there: the time to its first event, the way, the adapter and the delay that it causes to others,
 * all in milliseconds.
 *
 * <p>Suited to many instances that choose at the same time with the same view, some hundred
 * milliseconds old: always taking the best would send what arrives in that time to one runner.
 * Among runners that are equally far, the scale on which the probability falls grows with the age
 * of the view and with the work that others are expected to have sent since, so that a difference
 * is evened out no faster than it can be seen to shrink. The distance is drawn first, on a shorter
 * scale, because the way is known exactly and each distance has several runners. Stateless; as
 * thread safe as its source of random numbers.
 */
public final class LikelyBestChooser implements RunnerChooser {
  private static final double MINIMUM_SCALE_MILLISECONDS = 8;
  private static final double SCALE_PER_AGE = 0.25;
  private static final double SCALE_PER_UNSEEN = 2;
  private static final double DISTANCE_SCALE_PER_AGE = 0.2;
  private static final Distance[] DISTANCES = Distance.values();

  private final UniformRandomProvider random;

  /** Creates a chooser. */
  public LikelyBestChooser(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public Optional<RunnerCandidate> choose(List<RunnerCandidate> candidates) {
    int size = candidates.size();
    if (size == 0) {
      return Optional.empty();
    }
    double[] costs = new double[size];
    double least = Double.MAX_VALUE;
    double age = 0;
    double unseen = 0;
    for (int index = 0; index < size; index++) {
      RunnerCandidate candidate = candidates.get(index);
      costs[index] = ExpectedCost.millisecondsThere(candidate);
      least = Math.min(least, costs[index]);
      age = Math.max(age, candidate.outlook().viewAgeMilliseconds());
      unseen += candidate.outlook().unseenMilliseconds();
    }
    double scale =
        MINIMUM_SCALE_MILLISECONDS + SCALE_PER_AGE * age + SCALE_PER_UNSEEN * unseen / size;
    double[] weights = new double[size];
    double[] weightOf = new double[DISTANCES.length];
    double[] costOf = new double[DISTANCES.length];
    for (int index = 0; index < size; index++) {
      RunnerCandidate candidate = candidates.get(index);
      weights[index] = speed(candidate) * Math.exp((least - costs[index]) / scale);
      int distance = candidate.distance().ordinal();
      weightOf[distance] += weights[index];
      costOf[distance] += weights[index] * costs[index];
    }
    Distance distance = drawDistance(weightOf, costOf, age);
    return Optional.of(draw(candidates, weights, distance, weightOf[distance.ordinal()]));
  }

  private Distance drawDistance(double[] weightOf, double[] costOf, double age) {
    double[] weights = new double[DISTANCES.length];
    double least = Double.MAX_VALUE;
    for (int index = 0; index < DISTANCES.length; index++) {
      if (weightOf[index] > 0) {
        costOf[index] =
            costOf[index] / weightOf[index] + ExpectedCost.crossingMilliseconds(DISTANCES[index]);
        least = Math.min(least, costOf[index]);
      }
    }
    double scale = MINIMUM_SCALE_MILLISECONDS + DISTANCE_SCALE_PER_AGE * age;
    double sum = 0;
    for (int index = 0; index < DISTANCES.length; index++) {
      weights[index] = weightOf[index] > 0 ? Math.exp((least - costOf[index]) / scale) : 0;
      sum += weights[index];
    }
    double left = random.nextDouble() * sum;
    int last = 0;
    for (int index = 0; index < DISTANCES.length; index++) {
      if (weights[index] > 0) {
        last = index;
        left -= weights[index];
        if (left < 0) {
          break;
        }
      }
    }
    return DISTANCES[last];
  }

  private RunnerCandidate draw(
      List<RunnerCandidate> candidates, double[] weights, Distance distance, double sum) {
    double left = random.nextDouble() * sum;
    RunnerCandidate last = candidates.get(0);
    for (int index = 0; index < weights.length; index++) {
      RunnerCandidate candidate = candidates.get(index);
      if (candidate.distance() == distance && weights[index] > 0) {
        last = candidate;
        left -= weights[index];
        if (left < 0) {
          break;
        }
      }
    }
    return last;
  }

  private static double speed(RunnerCandidate candidate) {
    double milliseconds =
        candidate.millisecondsPerRequest() > 0
            ? candidate.millisecondsPerRequest()
            : candidate.millisecondsPerToken();
    return 1 / Math.max(Double.MIN_NORMAL, milliseconds);
  }
}
