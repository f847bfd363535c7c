package org.agatefield.daemon.connections;

/** Why a connection of a client is given up. Immutable. */
public enum GiveUpReason {
  /** All connections together hold too much memory. */
  MEMORY,
  /** Too many connections are open. */
  CONNECTIONS,
  /** The head of a request did not arrive in time. */
  HEADER_TIMEOUT,
  /** Nothing of a request's body arrived in time. */
  BODY_TIMEOUT,
  /** No request began in time. */
  IDLE
}
