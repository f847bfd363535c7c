package org.agatefield.engine;

import java.time.Duration;

/**
 * Timeouts and limits of the client of model engines. Immutable.
 *
 * @param connectTimeout the timeout for establishing a connection
 * @param loadReportTimeout the timeout of a load report
 * @param orderTimeout the timeout of an order, including loading, after which its result is unknown
 * @param idleTimeout the maximum time without data during a response
 * @param maximumAnswerBytes the maximum size of a response that is not a stream
 * @param maximumEventBytes the maximum size of a server-sent event
 * @param connectionsPerEngine the maximum number of connections to one engine
 */
public record EngineClientOptions(
    Duration connectTimeout,
    Duration loadReportTimeout,
    Duration orderTimeout,
    Duration idleTimeout,
    int maximumAnswerBytes,
    int maximumEventBytes,
    int connectionsPerEngine) {

  /** Returns options for engines in the same region. */
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
