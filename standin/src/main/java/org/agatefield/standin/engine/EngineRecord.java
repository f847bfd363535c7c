package org.agatefield.standin.engine;

import java.util.List;
import java.util.Map;

/**
 * What an engine recorded about itself. Immutable.
 *
 * @param overcommits orders that did not fit beside what was loaded
 * @param refusedOrders orders refused for any reason
 * @param mostUsedMegabytes the most memory that was ever taken
 * @param generationStarts generations that were begun
 * @param cancelledGenerations generations that were given up before their end
 * @param requestsCutByUnload generations that an unload order cut
 * @param executions number of generations begun by request identifier
 */
public record EngineRecord(
    List<String> overcommits,
    long refusedOrders,
    long mostUsedMegabytes,
    long generationStarts,
    long cancelledGenerations,
    long requestsCutByUnload,
    Map<String, Integer> executions) {
  /** Copies the collections. */
  public EngineRecord {
    overcommits = List.copyOf(overcommits);
    executions = Map.copyOf(executions);
  }
}
