package org.agatefield.peer;

import java.util.concurrent.CompletableFuture;

/** Takes what other instances send. Called on the transport's threads; must not block. */
public interface PeerHandler {
  /** A message came that expects no answer. */
  void received(PeerMessage message);

  /** A request came; the future's message, or its failure, is sent back. */
  CompletableFuture<PeerMessage> requested(PeerMessage request);
}
