package org.agatefield.standin.engine;

import java.util.List;
import java.util.Map;

/**
 * Counters and violations recorded by an engine. Immutable.
 *
 * @param overcommits orders that exceeded the free memory
 * @param refusedOrders orders refused for any reason
 * @param mostUsedMegabytes the highest memory use, in megabytes
 * @param generationStarts generations started
 * @param cancelledGenerations generations cancelled before they completed
 * @param requestsCutByUnload generations aborted by an unload order
 * @param executions number of generations started, by request identifier
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
