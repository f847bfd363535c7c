package org.agatefield.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.agatefield.configuration.ConfigurationDifference;
import org.agatefield.configuration.ConfigurationFaultsException;
import org.agatefield.configuration.ConfigurationReader;
import org.agatefield.model.ConfigurationDocument;

/** Shows the changes that applying a document would make. */
@Command(name = "diff", description = "Shows the changes that applying a document would make")
public final class ConfigurationDiffCommand extends DaemonCommand {
  @Arguments(title = "FILE", description = "The document, as JSON")
  @Required
  private String file;

  @Override
  public CommandExitCode call() {
    ConfigurationDocument wanted = DocumentFile.parse(file);
    try (DaemonClient client = openClient()) {
      HttpAnswer answer = client.get("/operator/configuration");
      if (answer.status() >= 300) {
        return print(answer);
      }
      System.out.println(ConfigurationDifference.between(inForce(answer), wanted).toText());
      return CommandExitCode.SUCCESS;
    }
  }

  private static ConfigurationDocument inForce(HttpAnswer answer) {
    try {
      return ConfigurationReader.read(answer.body());
    } catch (ConfigurationFaultsException exception) {
      throw new CommandException(
          CommandExitCode.FAILURE,
          "the daemon's document cannot be read: " + exception.getMessage());
    }
  }
}
