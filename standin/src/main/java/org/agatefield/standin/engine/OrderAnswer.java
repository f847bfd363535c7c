package org.agatefield.standin.engine;

/**
 * The answer to an order. Immutable.
 *
 * @param result what the engine did
 */
public record OrderAnswer(Result result) {
  /** What an engine does with an order. */
  public enum Result {
    /** The engine is as ordered. */
    DONE,
    /** The fencing token is old. */
    REFUSED_OLD_TOKEN,
    /** The memory does not suffice. */
    REFUSED_NO_MEMORY,
    /** The order does not fit the engine's state. */
    REFUSED_INVALID
  }
}
