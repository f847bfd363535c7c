package org.agatefield.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.concurrent.Callable;

/** Validates a document without a daemon, with the same code that daemons use. */
@Command(name = "validate", description = "Validates a document and prints every fault")
public final class ConfigurationValidateCommand implements Callable<CommandExitCode> {
  @Arguments(title = "FILE", description = "The document, as JSON")
  @Required
  private String file;

  @Override
  public CommandExitCode call() {
    var document = DocumentFile.parse(file);
    System.out.println(
        file
            + ": valid, written against generation "
            + document.generation()
            + ", "
            + document.deployments().size()
            + " deployments on "
            + document.upstreams().size()
            + " upstreams");
    return CommandExitCode.SUCCESS;
  }
}
