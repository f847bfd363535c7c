package org.agatefield.peer;

import java.util.concurrent.CompletableFuture;

/** Handles messages from other instances. Called on the transport's threads; must not block. */
public interface PeerHandler {
  /** Handles a message that expects no answer. */
  void received(PeerMessage message);

  /** Handles a request; the future's message, or its failure, is sent as the answer. */
  CompletableFuture<PeerMessage> requested(PeerMessage request);
}
