package org.agatefield.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;

/**
 * Pauses the reading of a response, so that a runner that sends without end leaves time for the
 * other connections of the event loop.
 *
 * <p>Invariant: after {@link #BYTES_PER_TURN} bytes or {@link #PIECES_PER_TURN} pieces of them
 * nothing is read until the event loop has read its other sockets. Confined to one event loop.
 */
final class ReadPauses {
  static final int BYTES_PER_TURN = 65_536;

  /** The protocol allows pieces of one byte, and each of them costs time. */
  static final int PIECES_PER_TURN = 256;

  private static final long TURN_MILLISECONDS = 1; // Timers fire after sockets have been read.

  private final Vertx vertx;
  private final HttpClientResponse response;
  private int bytes;
  private int pieces;

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
    response.pause();
    vertx.setTimer(TURN_MILLISECONDS, fired -> response.resume());
  }
}
