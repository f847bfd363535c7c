package org.agatefield.standin.service;

import java.util.Map;

/**
 * The number of executed calls. Immutable.
 *
 * @param total all executions
 * @param byKey executions by idempotency key
 */
public record ExecutionCounts(long total, Map<String, Integer> byKey) {
  /** Copies the map. */
  public ExecutionCounts {
    byKey = Map.copyOf(byKey);
  }
}
