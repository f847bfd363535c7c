package org.agatefield.fleet;

/**
 * Thrown when a process of the fleet or a call to it fails; the message names the failure and the
 * process. Immutable.
 */
public final class FleetException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public FleetException(String message) {
    super(message);
  }

  /** Creates the exception with its cause. */
  public FleetException(String message, Throwable cause) {
    super(message, cause);
  }
}
