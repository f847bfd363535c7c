package org.agatefield.placement;

/**
 * The memory size and the load times of a model. Immutable.
 *
 * @param name the model's name
 * @param weightsMegabytes size of its weights in memory
 * @param storeLoadMilliseconds time to load it from the weight store
 * @param diskLoadMilliseconds time to load it from a runner's disk
 * @param memoryLoadMilliseconds time to load it from a runner's host memory
 */
public record ModelProfile(
    String name,
    double weightsMegabytes,
    double storeLoadMilliseconds,
    double diskLoadMilliseconds,
    double memoryLoadMilliseconds) {
  /** Returns how long the engine takes to load the model. */
  public double loadMilliseconds(EngineView engine) {
    if (engine.inHostMemory().contains(name)) {
      return memoryLoadMilliseconds;
    }
    return engine.onDisk().contains(name) ? diskLoadMilliseconds : storeLoadMilliseconds;
  }

  /** Returns whether the engine would load it from the weight store. */
  public boolean loadsFromStore(EngineView engine) {
    return !engine.inHostMemory().contains(name) && !engine.onDisk().contains(name);
  }
}
