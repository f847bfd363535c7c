package org.agatefield.peer;

import java.time.Duration;

/**
 * Limits and time-outs of a peer transport. Immutable.
 *
 * @param frameBytes maximum frame size; a connection that receives a larger frame is closed
 * @param writeBufferBytes size of the write buffer above which messages to a peer are dropped
 * @param unidentifiedConnections maximum number of incoming connections that have not named their
 *     peer; beyond it the oldest of them is closed
 * @param openRequests maximum number of unanswered requests on one connection
 * @param connectTimeout maximum time to open a connection
 * @param requestTimeout maximum time from a request to its answer
 * @param idleTimeout time without traffic after which a connection is closed
 */
public record PeerTransportSettings(
    int frameBytes,
    int writeBufferBytes,
    int unidentifiedConnections,
    int openRequests,
    Duration connectTimeout,
    Duration requestTimeout,
    Duration idleTimeout) {
  private static final int FRAME_BYTES = 1_310_720;
  private static final int WRITE_BUFFER_BYTES = 1_572_864;
  private static final int UNIDENTIFIED_CONNECTIONS = 1_024; // Three times the largest fleet.
  private static final int OPEN_REQUESTS = 1_024;
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
  private static final int REQUEST_TIMEOUT_MILLISECONDS = 5_000;
  private static final int IDLE_TIMEOUT_SECONDS = 60;

  /** Returns the default limits and time-outs. */
  public static PeerTransportSettings defaults() {
    return new PeerTransportSettings(
        FRAME_BYTES,
        WRITE_BUFFER_BYTES,
        UNIDENTIFIED_CONNECTIONS,
        OPEN_REQUESTS,
        Duration.ofMillis(CONNECT_TIMEOUT_MILLISECONDS),
        Duration.ofMillis(REQUEST_TIMEOUT_MILLISECONDS),
        Duration.ofSeconds(IDLE_TIMEOUT_SECONDS));
  }

  /** Returns these settings with another maximum of connections that have not named their peer. */
  public PeerTransportSettings withUnidentifiedConnections(int maximum) {
    return new PeerTransportSettings(
        frameBytes,
        writeBufferBytes,
        maximum,
        openRequests,
        connectTimeout,
        requestTimeout,
        idleTimeout);
  }

  /** Returns these settings with a maximum that leaves descriptors for other connections. */
  public PeerTransportSettings withinConnections(int connections) {
    return withUnidentifiedConnections(
        Math.max(1, Math.min(unidentifiedConnections, connections / 4)));
  }
}
