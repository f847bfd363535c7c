package org.agatefield.forwarding;

/**
 * Tells refused callers when coming back is of use.
 *
 * <p>Answers the load of callers that return before anything has changed and are refused again, and
 * of those that wait although another instance could take them at once. Stateless.
 */
public final class ReturnAdvice {
  private static final long SHORTEST_MILLISECONDS = 400; // about one load from host memory
  private static final long OTHER_INSTANCE_MILLISECONDS = 100; // others take requests at once

  private ReturnAdvice() {}

  /**
   * Returns how many milliseconds a caller should stay away.
   *
   * @param modelReadyMilliseconds how long until the model is expected on a runner; 0 if that is
   *     not known or does not matter
   */
  public static long milliseconds(RefusalReason reason, long modelReadyMilliseconds) {
    return reason == RefusalReason.SHUTTING_DOWN
        ? OTHER_INSTANCE_MILLISECONDS
        : Math.max(SHORTEST_MILLISECONDS, modelReadyMilliseconds);
  }
}
