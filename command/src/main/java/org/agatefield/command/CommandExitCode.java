package org.agatefield.command;

/** The documented exit codes of the operators' command. */
public enum CommandExitCode {
  /** Done. */
  SUCCESS(0),
  /** The daemon answered with an error, or an unexpected fault. */
  FAILURE(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The configuration breaks a rule. */
  REFUSED(3),
  /** Another operator changed the configuration meanwhile. */
  CONFLICT(4),
  /** No daemon could be reached. */
  UNREACHABLE(5);

  private final int number;

  CommandExitCode(int number) {
    this.number = number;
  }

  /** Returns the code that the process ends with. */
  public int number() {
    return number;
  }

  /** Returns the code for an HTTP answer of a daemon. */
  static CommandExitCode ofStatus(int status) {
    if (status < 300) {
      return SUCCESS;
    }
    return switch (status) {
      case 409 -> CONFLICT;
      case 422 -> REFUSED;
      default -> FAILURE;
    };
  }
}
