package org.agatefield.fleet;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.agatefield.model.Address;

/**
 * Measures the latency that a daemon adds to a request, by alternating load through the daemon with
 * load sent directly to the stand-in engine in the same run.
 */
@Command(
    name = "added-latency",
    description = "Measures the latency that a daemon adds to requests to an engine")
public final class AddedLatencyCommand implements Callable<Integer> {
  private static final String MODEL = "summaries";
  private static final String ENGINE_NAME = "summaries@v1";

  @Option(
      name = {"--rate"},
      title = "N",
      description = "Requests per second")
  private int rate = 500;

  @Option(
      name = {"--seconds"},
      title = "N",
      description = "Duration of each measurement in seconds")
  private int seconds = 10;

  @Option(
      name = {"--warm-up-seconds"},
      title = "N",
      description = "Warm-up time before each measurement in seconds; not reported")
  private int warmUpSeconds = 15;

  @Option(
      name = {"--turns"},
      title = "N",
      description = "Number of measurements of each path")
  private int turns = 3;

  @Override
  public Integer call() throws IOException {
    Path runDirectory = Files.createTempDirectory("agatefield-latency-");
    try (LocalFleet fleet = new LocalFleet(FleetPlans.latency(), runDirectory)) {
      fleet.withFullCompilation().startAll();
      Address engine = fleet.address("engine-1");
      Address daemon = fleet.address("entry-1");
      for (int turn = 1; turn <= turns; turn++) {
        System.out.println("turn " + turn + ", straight to the engine");
        System.out.println(runLoad(engine, ENGINE_NAME));
        System.out.println("turn " + turn + ", through a daemon");
        System.out.println(runLoad(daemon, MODEL));
      }
    }
    return 0;
  }

  private String runLoad(Address address, String model) {
    return new CommandRunner()
        .run(
            "load",
            "--entry",
            address.toString(),
            "--model",
            model,
            "--rate",
            Integer.toString(rate),
            "--warm-up-seconds",
            Integer.toString(warmUpSeconds),
            "--seconds",
            Integer.toString(seconds));
  }
}
