package org.agatefield.placement;

import java.util.List;

/**
 * Distributes the load of each model over the engines that hold it, so that their levels are as
 * even as possible.
 *
 * <p>Load is measured in engines of speed 1; the level of an engine is its load divided by its
 * speed, and 1 keeps it busy. Models and engines are identified by their index. Confined to one
 * thread.
 */
final class LoadDistribution {
  private static final int ROUNDS = 3; // further rounds change little
  private static final int ROUNDS_AFTER_MOVE = 2; // only the models of one engine moved
  private static final double LOAD_TOLERANCE = 1e-9; // levels that differ by less count as equal

  private final double[] speeds;
  private final double[] offeredLoad;
  private final List<List<Integer>> holders;
  private final double[] load;
  private final double[][] parts;

  /** The least loaded engines that hold a model. Immutable. */
  record Replicas(double level, double speed) {}

  /**
   * Distributes the offered load.
   *
   * @param speeds the speed of each engine
   * @param offeredLoad the load of each model
   * @param holders the engines that hold each model; changed by the caller between evaluations
   */
  LoadDistribution(double[] speeds, double[] offeredLoad, List<List<Integer>> holders) {
    this.speeds = speeds;
    this.offeredLoad = offeredLoad;
    this.holders = holders;
    this.load = new double[speeds.length];
    this.parts = new double[offeredLoad.length][speeds.length];
    for (int round = 0; round < ROUNDS; round++) {
      for (int model = 0; model < offeredLoad.length; model++) {
        distribute(model);
      }
    }
  }

  private LoadDistribution(LoadDistribution original) {
    this.speeds = original.speeds;
    this.offeredLoad = original.offeredLoad;
    this.holders = original.holders;
    this.load = original.load.clone();
    this.parts = original.parts.clone(); // Rows are replaced, not changed, by the copy.
  }

  /** Returns the distribution after the holders of some models have changed. */
  LoadDistribution afterChangeOf(List<Integer> models) {
    LoadDistribution changed = new LoadDistribution(this);
    for (int model : models) {
      changed.parts[model] = changed.parts[model].clone();
      changed.takeOut(model);
    }
    for (int round = 0; round < ROUNDS_AFTER_MOVE; round++) {
      models.forEach(changed::distribute);
    }
    return changed;
  }

  /** Returns the sum of speed times squared level, which is lowest when the levels are even. */
  double cost() {
    double cost = 0;
    for (int engine = 0; engine < load.length; engine++) {
      cost += load[engine] * load[engine] / speeds[engine];
    }
    return cost;
  }

  /** Returns the load of an engine. */
  double load(int engine) {
    return load[engine];
  }

  /** Returns the level of an engine. */
  double level(int engine) {
    return load[engine] / speeds[engine];
  }

  /** Returns the load of a model that an engine takes. */
  double part(int model, int engine) {
    return parts[model][engine];
  }

  /** Returns the least loaded engines of a model; the level is 0 if there are none. */
  Replicas replicas(int model) {
    double lowest = Double.MAX_VALUE;
    for (int engine : holders.get(model)) {
      lowest = Math.min(lowest, level(engine));
    }
    double speed = 0;
    for (int engine : holders.get(model)) {
      if (level(engine) <= lowest + LOAD_TOLERANCE) {
        speed += speeds[engine];
      }
    }
    return speed == 0 ? new Replicas(0, 0) : new Replicas(lowest, speed);
  }

  private void takeOut(int model) {
    double[] part = parts[model];
    for (int engine = 0; engine < part.length; engine++) {
      load[engine] -= part[engine];
      part[engine] = 0;
    }
  }

  private void distribute(int model) {
    if (offeredLoad[model] <= 0) {
      return;
    }
    takeOut(model);
    List<Integer> engines = holders.get(model);
    if (engines.isEmpty()) {
      return;
    }
    double level = commonLevel(offeredLoad[model], engines);
    for (int engine : engines) {
      double added = Math.max(0, level * speeds[engine] - load[engine]);
      parts[model][engine] = added;
      load[engine] += added;
    }
  }

  /** Returns the level to which the load fills the least loaded of the engines. */
  private double commonLevel(double added, List<Integer> engines) {
    double ceiling = Double.MAX_VALUE;
    // Each round leaves out engines above the level, which sinks thereby.
    for (int round = 0; round < engines.size(); round++) {
      double speed = 0;
      double filled = added;
      for (int engine : engines) {
        if (level(engine) <= ceiling) {
          speed += speeds[engine];
          filled += load[engine];
        }
      }
      double level = filled / speed;
      if (speed == 0 || level >= ceiling) {
        break;
      }
      ceiling = level;
    }
    return ceiling;
  }
}
