package org.agatefield.peer;

import java.time.Duration;

/**
 * Bounds of a peer transport. Immutable.
 *
 * @param frameBytes largest frame; a connection that brings a larger one is closed
 * @param writeBufferBytes messages to a peer are dropped while more than this waits to be written
 * @param openRequests most requests that wait for an answer on one connection
 * @param connectTimeout how long a connection may take to open
 * @param requestTimeout how long a request may take
 * @param idleTimeout a connection that carried nothing for so long is closed
 */
public record PeerTransportSettings(
    int frameBytes,
    int writeBufferBytes,
    int openRequests,
    Duration connectTimeout,
    Duration requestTimeout,
    Duration idleTimeout) {
  private static final int FRAME_BYTES = 1_310_720;
  private static final int WRITE_BUFFER_BYTES = 1_572_864;
  private static final int OPEN_REQUESTS = 1_024;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
  private static final int REQUEST_TIMEOUT_MILLISECONDS = 5_000;
  private static final int IDLE_TIMEOUT_SECONDS = 60;

  /** Returns the usual bounds. */
  public static PeerTransportSettings defaults() {
    return new PeerTransportSettings(
        FRAME_BYTES,
        WRITE_BUFFER_BYTES,
        OPEN_REQUESTS,
        Duration.ofMillis(CONNECT_TIMEOUT_MILLISECONDS),
        Duration.ofMillis(REQUEST_TIMEOUT_MILLISECONDS),
        Duration.ofSeconds(IDLE_TIMEOUT_SECONDS));
  }
}
