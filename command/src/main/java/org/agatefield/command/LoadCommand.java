package org.agatefield.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Once;
import java.time.Duration;

/** Sends requests at a steady rate and reports what came back. */
@Command(name = "load", description = "Sends requests at a rate and reports times and errors")
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
      description = "Requests a second")
  @Once
  private int rate = 50;

  @Option(
      name = {"--seconds"},
      title = "N",
      description = "How long to send")
  @Once
  private int seconds = 10;

  @Option(
      name = {"--warm-up-seconds"},
      title = "N",
      description = "How long to send before that, without reporting it")
  @Once
  private int warmUpSeconds;

  @Option(
      name = {"--maximum-tokens"},
      title = "N",
      description = "The most tokens of each answer")
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
