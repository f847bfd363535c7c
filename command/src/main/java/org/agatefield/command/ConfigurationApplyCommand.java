package org.agatefield.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;
import java.util.Map;

/** Applies a document against the generation that it names. */
@Command(
    name = "apply",
    description = "Applies a document; its generation names the one that it was written against")
public final class ConfigurationApplyCommand extends DaemonCommand {
  @Arguments(title = "FILE", description = "The document, as JSON")
  @Required
  private String file;

  @Override
  public CommandExitCode call() {
    String document = DocumentFile.read(file);
    try (DaemonClient client = openClient()) {
      return print(
          client.send(
              HttpMethod.PUT,
              "/operator/configuration",
              document,
              Map.of("Content-Type", "application/json")));
    }
  }
}
