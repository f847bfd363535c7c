package org.agatefield.standin.engine;

/**
 * The response to an order. Immutable.
 *
 * @param result the outcome of the order
 */
public record OrderAnswer(Result result) {
  /** The outcome of an order. */
  public enum Result {
    /** The order has been executed. */
    DONE,
    /** The fencing token is outdated. */
    REFUSED_OLD_TOKEN,
    /** The free memory is insufficient. */
    REFUSED_NO_MEMORY,
    /** The order is invalid in the engine's current state. */
    REFUSED_INVALID
  }
}
