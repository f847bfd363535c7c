package org.agatefield.daemon;

/** The documented exit codes of the daemon. */
public enum ExitCode {
  /** Success: valid settings, help shown, or a graceful shutdown that interrupted no request. */
  SUCCESS(0),
  /** An unexpected error. */
  FAILURE(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The settings are invalid or cannot be read. */
  SETTINGS(3),
  /** A listener could not be opened. */
  LISTEN(4),
  /** A graceful shutdown reached its time limit and interrupted requests. */
  DRAIN_TIMEOUT(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit code of the process. */
  public int number() {
    return number;
  }
}
