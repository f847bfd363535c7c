package org.agatefield.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The state that a model runner reports on request; some hundred milliseconds old. Immutable.
 *
 * @param startTimeMilliseconds the wall-clock time of its start
 * @param models the models that it has loaded
 * @param loadingAdapters adapters that are being loaded, written as {@code model/adapter}
 * @param busy whether it is executing an order for a model
 * @param acceptedOrders the number of orders accepted since its start
 * @param inHostMemory models whose weights are in its host memory
 * @param onDisk models whose weights are on its disk
 * @param work the work that it has, if it says so
 */
public record RunnerReport(
    long startTimeMilliseconds,
    List<LoadedModel> models,
    Set<String> loadingAdapters,
    boolean busy,
    long acceptedOrders,
    Set<String> inHostMemory,
    Set<String> onDisk,
    Optional<Work> work) {
  /** Copies the collections. */
  public RunnerReport {
    models = List.copyOf(models);
    loadingAdapters = Set.copyOf(loadingAdapters);
    inHostMemory = Set.copyOf(inHostMemory);
    onDisk = Set.copyOf(onDisk);
  }

  /** Creates the report of a runner that does not tell its work. */
  public RunnerReport(
      long startTimeMilliseconds,
      List<LoadedModel> models,
      Set<String> loadingAdapters,
      boolean busy,
      long acceptedOrders,
      Set<String> inHostMemory,
      Set<String> onDisk) {
    this(
        startTimeMilliseconds,
        models,
        loadingAdapters,
        busy,
        acceptedOrders,
        inHostMemory,
        onDisk,
        Optional.empty());
  }

  /**
   * The requests of a runner and the memory for their tokens. Immutable.
   *
   * @param running requests that it executes
   * @param waiting requests in its queue
   * @param usedTokens token memory that cannot yield to other requests
   * @param totalTokens its token memory; 0 if it does not say
   */
  public record Work(int running, int waiting, long usedTokens, long totalTokens) {}
}
