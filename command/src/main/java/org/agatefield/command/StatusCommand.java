package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;

/** Shows the instances, upstreams, replicas and configuration generation known to a daemon. */
@Command(name = "status", description = "Shows instances, upstreams, replicas and the generation")
public final class StatusCommand extends DaemonCommand {
  @Override
  public CommandExitCode call() {
    try (DaemonClient client = openClient()) {
      return print(client.get("/operator/status"));
    }
  }
}
