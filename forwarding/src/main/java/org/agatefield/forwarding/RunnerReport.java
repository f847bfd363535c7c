package org.agatefield.forwarding;

import java.util.List;
import java.util.Set;

/**
 * What a model runner answers when asked for its state; some hundred milliseconds old. Immutable.
 *
 * @param startTimeMilliseconds the wall-clock time of its start
 * @param models the models that it holds
 * @param loadingAdapters adapters on their way to it, written as {@code model/adapter}
 * @param busy whether it carries out an order for a model
 * @param acceptedOrders how many orders it accepted since its start
 * @param inHostMemory models whose weights lie in its host memory
 * @param onDisk models whose weights lie on its disk
 */
public record RunnerReport(
    long startTimeMilliseconds,
    List<LoadedModel> models,
    Set<String> loadingAdapters,
    boolean busy,
    long acceptedOrders,
    Set<String> inHostMemory,
    Set<String> onDisk) {
  /** Copies the collections. */
  public RunnerReport {
    models = List.copyOf(models);
    loadingAdapters = Set.copyOf(loadingAdapters);
    inHostMemory = Set.copyOf(inHostMemory);
    onDisk = Set.copyOf(onDisk);
  }
}
