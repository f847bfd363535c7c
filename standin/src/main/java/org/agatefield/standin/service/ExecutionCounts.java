package org.agatefield.standin.service;

import java.util.Map;

/**
 * How often calls were executed. Immutable.
 *
 * @param total executions in all
 * @param byKey executions by idempotency key
 */
public record ExecutionCounts(long total, Map<String, Integer> byKey) {
  /** Copies the map. */
  public ExecutionCounts {
    byKey = Map.copyOf(byKey);
  }
}
