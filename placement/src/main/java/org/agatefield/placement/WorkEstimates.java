package org.agatefield.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Completes the learned rates of a pool for one plan.
 *
 * <p>A model without a learned time takes its nominal time, in the proportion in which the learned
 * times of the others stand to theirs, so that learned and nominal times can be compared. Immutable
 * and thread safe.
 */
public final class WorkEstimates {
  // A rate outside of these bounds is a faulty measurement.
  private static final double SLOWEST_SPEED = 0.1;
  private static final double HIGHEST_SPEED = 10;

  private final WorkRates rates;
  private final Map<String, Double> learned = new HashMap<>();
  private final double learnedToNominal;

  /**
   * Reads the learned rates.
   *
   * @param weightsMegabytes the size of each model of the pool
   */
  public WorkEstimates(WorkRates rates, Map<String, Double> weightsMegabytes) {
    this.rates = rates;
    weightsMegabytes.forEach(
        (model, weights) -> {
          double each = rates.millisecondsPerToken(model);
          if (Double.isFinite(each) && each > 0) {
            learned.put(model, each);
          }
        });
    double[] ratios =
        learned.entrySet().stream()
            .mapToDouble(
                each ->
                    each.getValue()
                        / TokenWork.nominal(weightsMegabytes.get(each.getKey()))
                            .promptMilliseconds())
            .toArray();
    Arrays.sort(ratios);
    learnedToNominal = ratios.length == 0 ? 0 : ratios[ratios.length / 2];
  }

  /** Returns the time that the tokens of a model take. */
  public TokenWork of(String model, double weightsMegabytes) {
    TokenWork nominal = TokenWork.nominal(weightsMegabytes);
    if (learnedToNominal == 0) {
      return nominal;
    }
    return TokenWork.learned(
        learned.getOrDefault(model, nominal.promptMilliseconds() * learnedToNominal));
  }

  /** Returns the speed of a runner. */
  public double speed(String runner) {
    double speed = rates.relativeSpeed(runner);
    if (!Double.isFinite(speed) || speed <= 0) {
      return 1;
    }
    return Math.max(SLOWEST_SPEED, Math.min(HIGHEST_SPEED, speed));
  }
}
