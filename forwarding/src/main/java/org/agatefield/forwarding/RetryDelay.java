package org.agatefield.forwarding;

/**
 * Tells refused callers when coming back is of use.
 *
 * <p>Answers the load of callers that return before anything has changed and are refused again, and
 * of those that wait although another instance could take them at once. Stateless.
 */
public final class RetryDelay {
  private static final long SHORTEST_MILLISECONDS = 400; // about one load from host memory
  private static final long OTHER_INSTANCE_MILLISECONDS = 100; // others take requests at once

  private RetryDelay() {}

  /**
   * Returns how many milliseconds a caller should stay away.
   *
   * @param usefulInMilliseconds how long until the model, the runner or the quota that is missing
   *     is expected to be there; 0 if that is not known or does not matter
   */
  public static long milliseconds(RefusalReason reason, long usefulInMilliseconds) {
    return switch (reason) {
      case SHUTTING_DOWN, QUOTA_UNKNOWN -> OTHER_INSTANCE_MILLISECONDS;
      case OVER_QUOTA -> Math.max(OTHER_INSTANCE_MILLISECONDS, usefulInMilliseconds);
      default -> Math.max(SHORTEST_MILLISECONDS, usefulInMilliseconds);
    };
  }
}
