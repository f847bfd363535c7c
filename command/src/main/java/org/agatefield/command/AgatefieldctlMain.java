package org.agatefield.command;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;

/** The main class of the operators' command. */
@Cli(
    name = "agatefieldctl",
    description = "Configures, inspects and tests agatefield",
    defaultCommand = HelpCommand.class,
    commands = {
      HelpCommand.class,
      StatusCommand.class,
      ExplainCommand.class,
      DrainCommand.class,
      SendCommand.class,
      LoadCommand.class
    },
    groups = {
      @Group(
          name = "config",
          description = "The intended configuration",
          defaultCommand = ConfigurationGetCommand.class,
          commands = {
            ConfigurationGetCommand.class,
            ConfigurationHistoryCommand.class,
            ConfigurationApplyCommand.class,
            ConfigurationValidateCommand.class,
            ConfigurationCheckCommand.class,
            ConfigurationDiffCommand.class
          })
    })
public final class AgatefieldctlMain {
  private AgatefieldctlMain() {}

  /** Runs the command and exits with a documented exit code. */
  public static void main(String[] arguments) {
    System.exit(run(arguments).number());
  }

  static CommandExitCode run(String[] arguments) {
    var parser =
        new com.github.rvesse.airline.Cli<Callable<CommandExitCode>>(AgatefieldctlMain.class);
    try {
      return parser.parse(arguments).call();
    } catch (ParseException exception) {
      System.err.println(exception.getMessage());
      return CommandExitCode.USAGE;
    } catch (CommandException exception) {
      System.err.println(exception.getMessage());
      return exception.code();
    } catch (Exception exception) {
      System.err.println("unexpected error: " + exception);
      return CommandExitCode.FAILURE;
    }
  }
}
