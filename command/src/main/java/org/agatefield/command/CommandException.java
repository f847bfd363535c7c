package org.agatefield.command;

/** Thrown to end the command with a message for its user and an exit code. Immutable. */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final CommandExitCode code;

  CommandException(CommandExitCode code, String message) {
    super(message);
    this.code = code;
  }

  CommandExitCode code() {
    return code;
  }
}
