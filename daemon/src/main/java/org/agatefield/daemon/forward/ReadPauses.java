package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;
import java.util.EnumSet;
import java.util.Set;

/**
 * Pauses the reading of a response while there is a reason to.
 *
 * <p>Invariants: nothing is read while any reason holds; after {@link #BYTES_PER_TURN} bytes or
 * {@link #PIECES_PER_TURN} pieces of them nothing is read until the event loop has read its other
 * sockets. Confined to one event loop.
 */
final class ReadPauses {
  static final int BYTES_PER_TURN = 65_536;

  /** The protocol allows pieces of one byte, and each of them costs time. */
  static final int PIECES_PER_TURN = 256;

  private static final long TURN_MILLISECONDS = 1; // Timers fire after sockets have been read.

  private final Vertx vertx;
  private final HttpClientResponse response;
  private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);
  private int bytes;
  private int pieces;
  private boolean closed;

  /** Why nothing is read. */
  enum Reason {
    /** Other connections are to be read first. */
    TURN,
    /** The caller has not read what was written. */
    CALLER,
    /** Too many bytes are held for all callers. */
    MEMORY
  }

  ReadPauses(Vertx vertx, HttpClientResponse response) {
    this.vertx = vertx;
    this.response = response;
  }

  /** Records a piece of the response; ends the turn if it has taken its share. */
  void bytesRead(int pieceBytes) {
    bytes += pieceBytes;
    pieces++;
    if (bytes < BYTES_PER_TURN && pieces < PIECES_PER_TURN) {
      return;
    }
    bytes = 0;
    pieces = 0;
    pause(Reason.TURN);
    vertx.setTimer(TURN_MILLISECONDS, fired -> resume(Reason.TURN));
  }

  void pause(Reason reason) {
    if (closed) {
      return;
    }
    if (reasons.isEmpty()) {
      response.pause();
    }
    reasons.add(reason);
  }

  /** Removes a reason; reading goes on if it was the last one. */
  void resume(Reason reason) {
    if (reasons.remove(reason) && reasons.isEmpty() && !closed) {
      response.resume();
    }
  }

  /** Returns whether a reason holds. */
  boolean isPaused() {
    return !reasons.isEmpty();
  }

  /** Pauses and resumes no longer, as the call is over. */
  void close() {
    closed = true;
  }
}
