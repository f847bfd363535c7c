package org.agatefield.fleet;

/** A fleet of processes is not as it should be; the message says what and where. Immutable. */
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
