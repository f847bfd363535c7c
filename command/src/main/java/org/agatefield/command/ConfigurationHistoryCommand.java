package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Once;

/** Prints the accepted generations, or one of them. */
@Command(name = "history", description = "Lists the accepted generations, or prints one")
public final class ConfigurationHistoryCommand extends DaemonCommand {
  private static final long NONE = -1;

  @Option(
      name = {"--generation"},
      title = "N",
      description = "Prints this generation")
  @Once
  private long generation = NONE;

  @Override
  public CommandExitCode call() {
    String path = "/operator/configuration/history";
    try (DaemonClient client = openClient()) {
      return print(client.get(generation == NONE ? path : path + "/" + generation));
    }
  }
}
