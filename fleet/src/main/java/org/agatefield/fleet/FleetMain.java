package org.agatefield.fleet;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;
import org.agatefield.fleet.soak.SoakCommand;

/** The entry point of the fleet tools. */
@Cli(
    name = "agatefield-fleet",
    description = "Starts local fleets to try out and to soak",
    commands = {QuickstartCommand.class, AddedLatencyCommand.class, SoakCommand.class})
public final class FleetMain {
  private static final int USAGE = 2;
  private static final int FAILURE = 1;

  private FleetMain() {}

  /** Runs a tool; ends with 0 if it succeeded. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    var parser = new com.github.rvesse.airline.Cli<Callable<Integer>>(FleetMain.class);
    try {
      return parser.parse(arguments).call();
    } catch (ParseException exception) {
      System.err.println(exception.getMessage());
      return USAGE;
    } catch (Exception exception) {
      System.err.println("unexpected fault: " + exception);
      return FAILURE;
    }
  }
}
