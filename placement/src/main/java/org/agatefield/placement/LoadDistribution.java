package org.agatefield.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Spreads the work for models over the engines that hold them, as evenly as that allows.
 *
 * <p>Work is in engines: 1 keeps one engine busy. Confined to one thread.
 */
final class LoadDistribution {
  private static final int ROUNDS = 3; // further rounds change little

  private final double[] load;
  private final Map<String, double[]> parts = new HashMap<>();

  private LoadDistribution(int engines) {
    this.load = new double[engines];
  }

  /**
   * Spreads work.
   *
   * @param holders the engines' indices for each model
   */
  static LoadDistribution of(
      int engines, Map<String, Double> work, Map<String, List<Integer>> holders) {
    LoadDistribution shares = new LoadDistribution(engines);
    for (int round = 0; round < ROUNDS; round++) {
      holders.forEach((model, where) -> shares.spread(model, work.getOrDefault(model, 0.0), where));
    }
    return shares;
  }

  /** Returns a measure that grows faster than the load, so that even loads are preferred. */
  double cost() {
    double cost = 0;
    for (double each : load) {
      cost += each * each;
    }
    return cost;
  }

  double load(int engine) {
    return load[engine];
  }

  private void spread(String model, double work, List<Integer> where) {
    double[] before = parts.remove(model);
    if (before != null) {
      for (int index = 0; index < where.size(); index++) {
        load[where.get(index)] -= before[index];
      }
    }
    if (work <= 0 || where.isEmpty()) {
      return;
    }
    double[] part = fill(work, where);
    for (int index = 0; index < part.length; index++) {
      load[where.get(index)] += part[index];
    }
    parts.put(model, part);
  }

  /** Fills the least loaded engines up to a common level. */
  private double[] fill(double work, List<Integer> where) {
    double[] levels = new double[where.size()];
    for (int index = 0; index < levels.length; index++) {
      levels[index] = load[where.get(index)];
    }
    double[] sorted = levels.clone();
    Arrays.sort(sorted);
    double level = sorted[0];
    double left = work;
    for (int count = 1; count <= sorted.length; count++) {
      double next = count < sorted.length ? sorted[count] : Double.MAX_VALUE;
      double room = (next - level) * count;
      if (room >= left) {
        level += left / count;
        break;
      }
      left -= room;
      level = next;
    }
    double[] part = new double[levels.length];
    for (int index = 0; index < levels.length; index++) {
      part[index] = Math.max(0, level - levels[index]);
    }
    return part;
  }
}
