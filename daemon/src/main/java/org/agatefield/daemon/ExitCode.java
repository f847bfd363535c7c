package org.agatefield.daemon;

/** The documented exit codes of the daemon. */
public enum ExitCode {
  /** Ended as asked: settings checked, help shown, or a graceful shutdown that cut no request. */
  SUCCESS(0),
  /** An unexpected fault. */
  FAILURE(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The settings break a rule or cannot be read. */
  SETTINGS(3),
  /** A listener could not be opened. */
  LISTEN(4),
  /** A graceful shutdown ran into its time limit and cut requests. */
  DRAIN_TIMEOUT(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the code that the process ends with. */
  public int number() {
    return number;
  }
}
