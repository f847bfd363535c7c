package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.http.HttpMethod;
import java.util.Map;

/** Requests a graceful shutdown of a daemon. */
@Command(name = "drain", description = "Makes a daemon finish its requests and shut down")
public final class DrainCommand extends DaemonCommand {
  @Override
  public CommandExitCode call() {
    try (DaemonClient client = openClient()) {
      return print(client.send(HttpMethod.POST, "/operator/drain", "", Map.of()));
    }
  }
}
