package org.agatefield.engine;

/**
 * A range of bytes. Immutable.
 *
 * @param start the first byte
 * @param end one past the last byte; equal to {@code start} if there is nothing
 */
public record ByteRange(int start, int end) {
  /** The range of something that is not there. */
  public static final ByteRange NONE = new ByteRange(0, 0);

  /** Returns whether there is nothing in the range. */
  public boolean isEmpty() {
    return start == end;
  }
}
