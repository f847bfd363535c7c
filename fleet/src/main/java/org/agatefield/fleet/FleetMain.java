package org.agatefield.fleet;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;
import org.agatefield.fleet.soak.SoakCommand;

/** Main class of the fleet tools: quickstart, latency measurement and soak test. */
@Cli(
    name = "agatefield-fleet",
    description = "Starts local fleets for trials and soak tests",
    commands = {QuickstartCommand.class, AddedLatencyCommand.class, SoakCommand.class})
public final class FleetMain {
  private static final int USAGE_EXIT_CODE = 2;
  private static final int FAILURE_EXIT_CODE = 1;

  private FleetMain() {}

  /** Runs a tool and exits with 0 if it succeeds. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    var parser = new com.github.rvesse.airline.Cli<Callable<Integer>>(FleetMain.class);
    try {
      return parser.parse(arguments).call();
    } catch (ParseException exception) {
      System.err.println(exception.getMessage());
      return USAGE_EXIT_CODE;
    } catch (Exception exception) {
      System.err.println("unexpected error: " + exception);
      return FAILURE_EXIT_CODE;
    }
  }
}
