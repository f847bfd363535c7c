package org.agatefield.daemon.connections;

import java.util.function.Consumer;

/**
 * What one connection holds and how far its current request has arrived.
 *
 * <p>Written by the connection's event loop and by {@link HeldConnections}; safe to read by any
 * thread.
 */
public final class HeldConnection {
  private final Consumer<GiveUpReason> onGivenUp;
  private volatile Stage stage = Stage.IDLE;
  private volatile long stageSince;
  private volatile long unfinishedSince;
  private volatile long bytes; // Changed by HeldConnections only.

  /** How far the request on a connection has arrived. */
  enum Stage {
    /** No request has begun. */
    IDLE,
    /** The head is incomplete. */
    HEAD,
    /** The body is incomplete. */
    BODY,
    /** The request has arrived and is not answered yet. */
    WHOLE,
    /** The response is complete, but the client has not read it. */
    UNREAD
  }

  /**
   * Creates a connection that holds nothing.
   *
   * @param onGivenUp called by whoever carries out the decision to close this connection
   */
  public HeldConnection(long now, Consumer<GiveUpReason> onGivenUp) {
    this.onGivenUp = onGivenUp;
    this.stageSince = now;
    this.unfinishedSince = now;
  }

  void headBegan(long now) {
    enter(Stage.HEAD, now);
  }

  /** Records that the head, or a piece of the body, has arrived. */
  void bodyArrives(long now) {
    enter(Stage.BODY, now);
  }

  void requestArrived(long now) {
    enter(Stage.WHOLE, now);
  }

  /** Records that the response is complete, but not read. */
  void responseComplete(long now) {
    enter(Stage.UNREAD, now);
  }

  /** Records that a response was written; the client may send another request. */
  void requestFinished(long now) {
    unfinishedSince = now;
    enter(Stage.IDLE, now);
  }

  private void enter(Stage entered, long now) {
    stage = entered;
    stageSince = now;
  }

  Stage stage() {
    return stage;
  }

  long bytes() {
    return bytes;
  }

  void setBytes(long heldBytes) {
    bytes = heldBytes;
  }

  /** Returns for how long nothing of the request's current stage has been completed. */
  long millisecondsInStage(long now) {
    return now - stageSince;
  }

  /** Returns whether nothing that a caller waits for is lost if this connection is closed. */
  boolean canBeGivenUp() {
    return stage != Stage.WHOLE;
  }

  /** Returns how much is held for how long without a finished request. */
  double burden(long now) {
    return (HeldConnections.CONNECTION_BYTES + bytes) * (1.0 + now - unfinishedSince);
  }

  void giveUp(GiveUpReason reason) {
    onGivenUp.accept(reason);
  }
}
