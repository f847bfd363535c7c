package org.agatefield.fleet.soak;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.agatefield.fleet.FleetPlan;
import org.agatefield.fleet.FleetPlans;
import org.agatefield.fleet.LocalFleet;

/** Runs a soak test of a local fleet. */
@Command(
    name = "soak",
    description =
        "Runs a whole fleet under a seeded schedule of failures and checks its guarantees")
public final class SoakCommand implements Callable<Integer> {
  private static final int SECONDS_PER_MINUTE = 60;
  private static final String QUARANTINE_LIMIT = "order_quarantine_seconds = 10";

  @Option(
      name = {"--seed"},
      title = "N",
      description = "Seed of the failure schedule; the same seed gives the same schedule")
  private long seed = 1;

  @Option(
      name = {"--minutes"},
      title = "M",
      description = "Duration of the load in minutes; fractions are allowed")
  private double minutes = 2;

  @Option(
      name = {"--user"},
      title = "USER",
      description = "Fleet to start: cooperative, consortium or small")
  @AllowedRawValues(allowedValues = {"cooperative", "consortium", "small"})
  private String user = "cooperative";

  @Override
  public Integer call() throws IOException {
    Path runDirectory = Files.createTempDirectory("agatefield-soak-");
    System.out.println("seed " + seed + ", logs are in " + runDirectory);
    try (LocalFleet fleet = new LocalFleet(plan(), runDirectory).withLimits(QUARANTINE_LIMIT)) {
      int violations = new SoakRun(fleet, seed, (int) (minutes * SECONDS_PER_MINUTE)).run();
      return violations == 0 ? 0 : 1;
    }
  }

  private FleetPlan plan() {
    return switch (user) {
      case "consortium" -> FleetPlans.consortium();
      case "small" -> FleetPlans.quickstart();
      default -> FleetPlans.cooperative();
    };
  }
}
