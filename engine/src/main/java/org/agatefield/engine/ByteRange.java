package org.agatefield.engine;

/**
 * A range of byte positions. Immutable.
 *
 * @param start the position of the first byte
 * @param end the position after the last byte; equal to {@code start} if the range is empty
 */
public record ByteRange(int start, int end) {
  /** The range of an absent value. */
  public static final ByteRange NONE = new ByteRange(0, 0);

  /** Returns whether the range contains no bytes. */
  public boolean isEmpty() {
    return start == end;
  }
}
