package org.agatefield.peer;

import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Address;

/** Sends messages to other instances and receives theirs. Safe for use by any thread. */
public interface PeerTransport extends AutoCloseable {
  /**
   * Sends a request and returns its answer.
   *
   * <p>The future fails with an {@link org.agatefield.model.AgatefieldException} if the peer cannot
   * be reached, refuses, or does not answer in time.
   */
  CompletableFuture<PeerMessage> request(Address peer, PeerMessage message);

  /** Sends a message that may be lost; never waits. */
  void send(Address peer, PeerMessage message);

  /** Hands everything that comes from now on to {@code handler}. */
  void listen(PeerHandler handler);

  /** Closes all connections; open requests fail. */
  @Override
  void close();
}
