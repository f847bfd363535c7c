package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.http.HttpMethod;
import java.util.Map;

/** Asks a daemon to leave: it finishes what it has and ends. */
@Command(name = "drain", description = "Asks a daemon to finish its requests and end")
public final class DrainCommand extends DaemonCommand {
  @Override
  public CommandExitCode call() {
    try (DaemonClient client = openClient()) {
      return print(client.send(HttpMethod.POST, "/operator/drain", "", Map.of()));
    }
  }
}
