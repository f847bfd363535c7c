package org.agatefield.command;

import org.agatefield.configuration.check.CheckRun;

/** The documented exit codes of the operators' command. */
public enum CommandExitCode {
  /** The command succeeded. */
  SUCCESS(0),
  /** The daemon answered with an error, a check found errors, or an unexpected error occurred. */
  FAILURE(1),
  /** The command line is invalid, or a file cannot be read or checked. */
  USAGE(2),
  /** The configuration is invalid. */
  REFUSED(3),
  /** Another operator has changed the configuration in the meantime. */
  CONFLICT(4),
  /** No daemon could be reached. */
  UNREACHABLE(5);

  private final int number;

  CommandExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit code of the process. */
  public int number() {
    return number;
  }

  /** Returns the exit code for the result of a check. */
  static CommandExitCode ofCheck(int result) {
    return switch (result) {
      case CheckRun.VALID -> SUCCESS;
      case CheckRun.ERRORS -> FAILURE;
      default -> USAGE;
    };
  }

  /** Returns the exit code for the HTTP status of a daemon's answer. */
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
