package org.agatefield.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Once;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.agatefield.configuration.ConfigurationReader;
import org.agatefield.configuration.check.CheckReport;
import org.agatefield.configuration.check.CheckRun;
import org.agatefield.configuration.check.DocumentCheck;
import org.agatefield.model.ConfigurationDocument;

/**
 * Checks a document without a daemon: errors, warnings and what it would change.
 *
 * <p>Invariant: sends nothing. Confined to the thread that runs the command.
 */
@Command(
    name = "check",
    description =
        "Checks a document before it is applied; exits with 0, 1 for errors, 2 if not run")
public final class ConfigurationCheckCommand implements Callable<CommandExitCode> {
  @Arguments(title = "FILE", description = "The document, as JSON")
  @Required
  private String file;

  @Option(
      name = {"--against"},
      title = "FILE",
      description = "The document in force, as printed by config get; default: not compared")
  @Once
  private String against;

  @Option(
      name = {"--json"},
      description = "Prints the report as JSON")
  private boolean json;

  @Override
  public CommandExitCode call() {
    return CommandExitCode.ofCheck(
        new CheckRun(System.out, System.err).run(file, json, this::check));
  }

  private CheckReport check() throws IOException {
    byte[] bytes = CheckRun.read(file, ConfigurationReader.MAXIMUM_BYTES);
    Optional<ConfigurationDocument> inForce = Optional.empty();
    if (against != null) {
      inForce = Optional.of(DocumentCheck.inForce(against));
    }
    return DocumentCheck.check(bytes, inForce);
  }
}
