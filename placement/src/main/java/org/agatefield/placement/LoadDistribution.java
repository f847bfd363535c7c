package org.agatefield.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes the load of each model over the engines that hold it, as evenly as possible.
 *
 * <p>Load is measured in engines: 1 keeps one engine busy. Confined to one thread.
 */
final class LoadDistribution {
  private static final int ROUNDS = 3; // further rounds change little

  private final double[] load;
  private final Map<String, double[]> loadsByModel = new HashMap<>();

  private LoadDistribution(int engines) {
    this.load = new double[engines];
  }

  /**
   * Distributes the offered load.
   *
   * @param offeredLoad the load of each model
   * @param holders the indices of the engines that hold each model
   */
  static LoadDistribution of(
      int engines, Map<String, Double> offeredLoad, Map<String, List<Integer>> holders) {
    LoadDistribution distribution = new LoadDistribution(engines);
    for (int round = 0; round < ROUNDS; round++) {
      holders.forEach(
          (model, indices) ->
              distribution.distribute(model, offeredLoad.getOrDefault(model, 0.0), indices));
    }
    return distribution;
  }

  /** Returns the sum of the squared loads, which is lowest when the load is even. */
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

  private void distribute(String model, double modelLoad, List<Integer> indices) {
    double[] before = loadsByModel.remove(model);
    if (before != null) {
      for (int index = 0; index < indices.size(); index++) {
        load[indices.get(index)] -= before[index];
      }
    }
    if (modelLoad <= 0 || indices.isEmpty()) {
      return;
    }
    double[] added = fill(modelLoad, indices);
    for (int index = 0; index < added.length; index++) {
      load[indices.get(index)] += added[index];
    }
    loadsByModel.put(model, added);
  }

  /** Fills the least loaded engines to a common level and returns what each of them gets. */
  private double[] fill(double modelLoad, List<Integer> indices) {
    double[] levels = new double[indices.size()];
    for (int index = 0; index < levels.length; index++) {
      levels[index] = load[indices.get(index)];
    }
    double[] sorted = levels.clone();
    Arrays.sort(sorted);
    double level = sorted[0];
    double remaining = modelLoad;
    for (int count = 1; count <= sorted.length; count++) {
      double next = count < sorted.length ? sorted[count] : Double.MAX_VALUE;
      double room = (next - level) * count;
      if (room >= remaining) {
        level += remaining / count;
        break;
      }
      remaining -= room;
      level = next;
    }
    double[] added = new double[levels.length];
    for (int index = 0; index < levels.length; index++) {
      added[index] = Math.max(0, level - levels[index]);
    }
    return added;
  }
}
