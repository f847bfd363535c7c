package org.agatefield.model;

import java.util.List;

/**
 * The load that a model engine reports; it may be outdated. Immutable.
 *
 * @param bootIdentifier changes at every start of the engine, after which nothing is loaded
 * @param memoryMegabytes total accelerator memory of the engine
 * @param usedMegabytes accelerator memory in use
 * @param runningRequests requests in the batch
 * @param waitingRequests requests in the engine's queue
 * @param versions engine names of the loaded versions
 * @param adapters names of the loaded adapters
 * @param highestFencingToken the highest token that the engine has received; 0 if it does not check
 *     tokens
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
