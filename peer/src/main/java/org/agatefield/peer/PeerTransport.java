package org.agatefield.peer;

import java.util.concurrent.CompletableFuture;
import org.agatefield.model.Address;

/** Exchanges messages with other instances. Thread-safe. */
public interface PeerTransport extends AutoCloseable {
  /**
   * Sends a request and returns its answer.
   *
   * <p>The future fails with an {@link org.agatefield.model.AgatefieldException} if the peer is
   * unreachable, refuses, or does not answer in time.
   */
  CompletableFuture<PeerMessage> request(Address peer, PeerMessage message);

  /** Sends a message without waiting; it may be lost. */
  void send(Address peer, PeerMessage message);

  /** Passes all messages received from now on to {@code handler}. */
  void listen(PeerHandler handler);

  /** Closes all connections; open requests fail. */
  @Override
  void close();
}
