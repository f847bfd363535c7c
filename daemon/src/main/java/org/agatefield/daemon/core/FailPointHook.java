package org.agatefield.daemon.core;

/**
 * Called when a daemon reaches a fail point. Implementations in tests pause or end the process
 * there.
 *
 * <p>Called on the thread that reaches the fail point. Implementations are thread-safe.
 */
@FunctionalInterface
public interface FailPointHook {
  /** Does nothing; used outside tests. */
  FailPointHook NONE = (failPoint, subject) -> {};

  /**
   * Called when a fail point is reached.
   *
   * @param subject the affected object, such as an idempotency key or an upstream's name
   */
  void reached(FailPoint failPoint, String subject);
}
