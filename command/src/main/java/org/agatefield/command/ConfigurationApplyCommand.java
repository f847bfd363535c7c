package org.agatefield.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;
import java.util.Map;

/** Applies a document that was written against the generation it contains. */
@Command(
    name = "apply",
    description = "Applies a document; its generation must be the one in force")
public final class ConfigurationApplyCommand extends DaemonCommand {
  @Arguments(title = "FILE", description = "The document, as JSON")
  @Required
  private String file;

  @Override
  public CommandExitCode call() {
    String document = DocumentFile.read(file);
    try (DaemonClient client = openClient()) {
      HttpAnswer answer =
          client.send(
              HttpMethod.PUT,
              "/operator/configuration",
              document,
              Map.of("Content-Type", "application/json"));
      if (answer.status() >= 300) {
        return print(answer);
      }
      System.out.println("accepted as generation " + generationOf(answer));
      return CommandExitCode.SUCCESS;
    }
  }

  private static long generationOf(HttpAnswer answer) {
    try {
      return new ObjectMapper().readTree(answer.body()).path("generation").asLong();
    } catch (JsonProcessingException exception) {
      throw new CommandException(
          CommandExitCode.FAILURE,
          "the daemon's answer is not a configuration document: " + answer.body());
    }
  }
}
