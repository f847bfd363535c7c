package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;

/** Shows what a daemon knows of instances, upstreams, replicas and the configuration. */
@Command(name = "status", description = "Shows instances, upstreams, replicas and the generation")
public final class StatusCommand extends DaemonCommand {
  @Override
  public CommandExitCode call() {
    try (DaemonClient client = openClient()) {
      return print(client.get("/operator/status"));
    }
  }
}
