package org.agatefield.admission;

/**
 * The bounds of a queue. Immutable.
 *
 * @param requests the maximum number of waiting requests
 * @param bytes the maximum total size of the bodies of waiting requests
 */
public record QueueBounds(int requests, long bytes) {
  /** Bounds that are never reached. */
  public static final QueueBounds NONE = new QueueBounds(Integer.MAX_VALUE, Long.MAX_VALUE);
}
