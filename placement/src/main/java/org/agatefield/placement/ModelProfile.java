package org.agatefield.placement;

/**
 * The memory size, the load times and the pace of a model. Immutable.
 *
 * @param name the model's name
 * @param weightsMegabytes size of its weights in memory
 * @param storeLoadMilliseconds time to load it from the weight store
 * @param diskLoadMilliseconds time to load it from a runner's disk
 * @param memoryLoadMilliseconds time to load it from a runner's host memory
 * @param work the time that an engine takes for its tokens
 */
public record ModelProfile(
    String name,
    double weightsMegabytes,
    double storeLoadMilliseconds,
    double diskLoadMilliseconds,
    double memoryLoadMilliseconds,
    TokenWork work) {
  /** Creates the profile of a model of which no rate has been learned. */
  public ModelProfile(
      String name,
      double weightsMegabytes,
      double storeLoadMilliseconds,
      double diskLoadMilliseconds,
      double memoryLoadMilliseconds) {
    this(
        name,
        weightsMegabytes,
        storeLoadMilliseconds,
        diskLoadMilliseconds,
        memoryLoadMilliseconds,
        TokenWork.nominal(weightsMegabytes));
  }

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
