package org.agatefield.daemon.connections;

import io.netty.buffer.ByteBuf;

/**
 * Follows the chunks of one request's body by the grammar of RFC 9112, section 7.1.
 *
 * <p>The library's decoder keeps 32 bits of a chunk's size, so that a larger size can stand for the
 * last chunk. Invariant: once a byte was refused, the bytes after it say nothing. Confined to one
 * event loop.
 */
final class ChunkFraming {
  private static final int LARGEST_CHUNK_BYTES = Integer.MAX_VALUE;
  private static final int HEXADECIMAL = 16;

  private State state = State.SIZE;
  private long size;
  private boolean hasDigits;

  /** What the next byte belongs to. */
  private enum State {
    SIZE,
    EXTENSION,
    SIZE_END,
    DATA,
    DATA_END,
    DELIMITER_END,
    TRAILERS
  }

  /** Returns whether the next bytes of the body agree with the grammar. */
  boolean accepts(ByteBuf buffer, int start, int length) {
    int end = start + length;
    int index = start;
    while (index < end) {
      if (state == State.TRAILERS) {
        return true;
      }
      if (state == State.DATA) {
        long taken = Math.min(size, end - index);
        size -= taken;
        index += (int) taken;
        state = size == 0 ? State.DATA_END : State.DATA;
      } else if (!accepts((char) buffer.getUnsignedByte(index))) {
        return false;
      } else {
        index++;
      }
    }
    return true;
  }

  private boolean accepts(char next) {
    return switch (state) {
      case SIZE -> acceptsInSize(next);
      case EXTENSION -> next == '\r' ? moveTo(State.SIZE_END) : next != '\n';
      case SIZE_END -> next == '\n' && moveTo(size == 0 ? State.TRAILERS : State.DATA);
      case DATA_END -> next == '\r' && moveTo(State.DELIMITER_END);
      case DELIMITER_END -> next == '\n' && beginSize();
      case DATA, TRAILERS -> true;
    };
  }

  private boolean acceptsInSize(char next) {
    int digit = next < Byte.MAX_VALUE ? Character.digit(next, HEXADECIMAL) : -1;
    if (digit >= 0) {
      hasDigits = true;
      size = size * HEXADECIMAL + digit;
      return size <= LARGEST_CHUNK_BYTES;
    }
    if (!hasDigits) {
      return false;
    }
    return switch (next) {
      case '\r' -> moveTo(State.SIZE_END);
      case ';', ' ', '\t' -> moveTo(State.EXTENSION);
      default -> false;
    };
  }

  private boolean beginSize() {
    size = 0;
    hasDigits = false;
    return moveTo(State.SIZE);
  }

  private boolean moveTo(State next) {
    state = next;
    return true;
  }
}
