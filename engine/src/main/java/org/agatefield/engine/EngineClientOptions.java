package org.agatefield.engine;

import java.time.Duration;

/**
 * Bounds of the client of model engines. Immutable.
 *
 * @param connectTimeout how long a connection may take to be made
 * @param loadReportTimeout how long a load report may take
 * @param orderTimeout how long an order may take, loading included, before its result is unknown
 * @param idleTimeout how long an engine may send nothing in the middle of a stream
 * @param maximumAnswerBytes largest answer that is not a stream
 * @param maximumEventBytes largest server-sent event
 * @param connectionsPerEngine most connections to one engine
 */
public record EngineClientOptions(
    Duration connectTimeout,
    Duration loadReportTimeout,
    Duration orderTimeout,
    Duration idleTimeout,
    int maximumAnswerBytes,
    int maximumEventBytes,
    int connectionsPerEngine) {

  /** Returns options that suit engines in the same region. */
  public static EngineClientOptions standard() {
    return new EngineClientOptions(
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(120),
        Duration.ofSeconds(10),
        16 * 1024 * 1024,
        1024 * 1024,
        512);
  }
}
