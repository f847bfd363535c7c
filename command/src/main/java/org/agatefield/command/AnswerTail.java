package org.agatefield.command;

import io.vertx.core.buffer.Buffer;

/** Buffers the last bytes of an answer. For use by one thread. */
final class AnswerTail {
  private final int maximumBytes;
  private Buffer bytes = Buffer.buffer();

  AnswerTail(int maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  boolean isEmpty() {
    return bytes.length() == 0;
  }

  void append(Buffer part) {
    Buffer joined = Buffer.buffer().appendBuffer(bytes).appendBuffer(part);
    int start = Math.max(0, joined.length() - maximumBytes);
    bytes = joined.getBuffer(start, joined.length());
  }

  String text() {
    return bytes.toString();
  }
}
