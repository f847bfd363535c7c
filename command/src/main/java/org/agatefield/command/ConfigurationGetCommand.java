package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;

/** Prints the configuration in force. */
@Command(name = "get", description = "Prints the configuration in force at a daemon")
public final class ConfigurationGetCommand extends DaemonCommand {
  @Override
  public CommandExitCode call() {
    try (DaemonClient client = openClient()) {
      return print(client.get("/operator/configuration"));
    }
  }
}
