package org.agatefield.forwarding;

/**
 * Computes the delay after which refused callers should retry.
 *
 * <p>Avoids that callers retry before anything has changed and are refused again, or wait although
 * another instance could take their requests at once. Stateless.
 */
public final class RetryDelay {
  private static final long MINIMUM_MILLISECONDS = 400; // about one model load from host memory
  // Other instances can take the request at once.
  private static final long OTHER_INSTANCE_MILLISECONDS = 100;

  private RetryDelay() {}

  /**
   * Returns the delay in milliseconds.
   *
   * @param usefulInMilliseconds expected time until the missing model, runner or quota is
   *     available; 0 if unknown or irrelevant
   */
  public static long milliseconds(RefusalReason reason, long usefulInMilliseconds) {
    return switch (reason) {
      case SHUTTING_DOWN, QUOTA_UNKNOWN -> OTHER_INSTANCE_MILLISECONDS;
      case OVER_QUOTA -> Math.max(OTHER_INSTANCE_MILLISECONDS, usefulInMilliseconds);
      default -> Math.max(MINIMUM_MILLISECONDS, usefulInMilliseconds);
    };
  }
}
