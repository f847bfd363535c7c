package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Once;
import java.time.Duration;

/** Sends requests at a constant rate and reports latencies and errors. */
@Command(
    name = "load",
    description = "Sends requests at a constant rate and reports latencies and errors")
public final class LoadCommand extends DaemonCommand {
  @Option(
      name = {"--model"},
      title = "NAME",
      description = "The deployment or adapter")
  @Once
  private String model = "summaries";

  @Option(
      name = {"--rate"},
      title = "N",
      description = "Requests per second")
  @Once
  private int rate = 50;

  @Option(
      name = {"--seconds"},
      title = "N",
      description = "Duration of the measurement in seconds")
  @Once
  private int seconds = 10;

  @Option(
      name = {"--warm-up-seconds"},
      title = "N",
      description = "Duration of the warm-up before the measurement in seconds")
  @Once
  private int warmUpSeconds;

  @Option(
      name = {"--maximum-tokens"},
      title = "N",
      description = "Maximum number of tokens of each answer")
  @Once
  private int maximumTokens = 8;

  @Override
  public CommandExitCode call() throws Exception {
    LoadPlan plan =
        new LoadPlan(
            model,
            rate,
            Duration.ofSeconds(warmUpSeconds),
            Duration.ofSeconds(seconds),
            maximumTokens);
    try (LoadGenerator generator = new LoadGenerator(entryAddress(), authorization())) {
      LoadReportTable table = generator.run(plan);
      System.out.println(table.format());
      return table.failed() == 0 ? CommandExitCode.SUCCESS : CommandExitCode.FAILURE;
    }
  }
}
