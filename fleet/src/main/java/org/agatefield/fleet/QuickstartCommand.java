package org.agatefield.fleet;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

/** Runs the quickstart: a small local fleet with sample requests. */
@Command(
    name = "quickstart",
    description = "Starts a small fleet and sends one request of each kind")
public final class QuickstartCommand implements Callable<Integer> {
  @Option(
      name = {"--keep"},
      description = "Leaves all processes running and prints their addresses")
  private boolean keep;

  @Override
  public Integer call() throws IOException {
    Path runDirectory = Files.createTempDirectory("agatefield-quickstart-");
    System.out.println("settings and logs are in " + runDirectory);
    try (LocalFleet fleet = new LocalFleet(FleetPlans.quickstart(), runDirectory)) {
      new Quickstart(fleet, runDirectory, System.out).run();
      if (keep) {
        printAddresses(fleet);
        fleet.detach();
      }
    } catch (FleetException exception) {
      System.out.println("quickstart: failed: " + exception.getMessage());
      return 1;
    }
    System.out.println("quickstart: ok");
    return 0;
  }

  private static void printAddresses(LocalFleet fleet) {
    System.out.println("left running; the operators' token is " + LocalFleet.OPERATOR_TOKEN);
    for (Map.Entry<String, ManagedProcess> each : fleet.processes().entrySet()) {
      System.out.printf(
          "  %-10s %-21s process %d%n",
          each.getKey(), each.getValue().address(), each.getValue().identifier());
    }
  }
}
