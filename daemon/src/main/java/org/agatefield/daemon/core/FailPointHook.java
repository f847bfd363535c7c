package org.agatefield.daemon.core;

/**
 * Told when a daemon reaches a named step; a test's implementation pauses or ends the process
 * there.
 *
 * <p>Called on the thread that takes the step. Safe for use by any thread.
 */
@FunctionalInterface
public interface FailPointHook {
  /** The hook of a daemon outside tests: does nothing. */
  FailPointHook NONE = (step, subject) -> {};

  /**
   * Called when {@code step} is reached.
   *
   * @param subject what the step is about, such as an idempotency key or an upstream's name
   */
  void reached(FailPoint step, String subject);
}
