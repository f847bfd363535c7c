package org.agatefield.admission;

/**
 * Bounds of a queue. Immutable.
 *
 * @param requests most requests that wait
 * @param bytes most bytes that waiting requests hold
 */
public record QueueBounds(int requests, long bytes) {
  /** Bounds that no queue reaches. */
  public static final QueueBounds NONE = new QueueBounds(Integer.MAX_VALUE, Long.MAX_VALUE);
}
