package org.agatefield.model;

import java.util.List;

/**
 * What a model engine says of itself; lags behind the truth. Immutable.
 *
 * @param bootIdentifier new at every start of the engine, which then holds nothing
 * @param memoryMegabytes accelerator memory that the engine has
 * @param usedMegabytes accelerator memory that is taken
 * @param runningRequests requests in the batch
 * @param waitingRequests requests in the engine's queue
 * @param versions engine names of the loaded versions
 * @param adapters names of the loaded adapters
 * @param highestFencingToken the highest token that the engine has seen; 0 if it checks none
 */
public record LoadReport(
    String bootIdentifier,
    long memoryMegabytes,
    long usedMegabytes,
    int runningRequests,
    int waitingRequests,
    List<String> versions,
    List<String> adapters,
    long highestFencingToken) {
  /** Copies the lists. */
  public LoadReport {
    versions = List.copyOf(versions);
    adapters = List.copyOf(adapters);
  }
}
