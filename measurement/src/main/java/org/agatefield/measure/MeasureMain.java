package org.agatefield.measure;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Compares each decision with its baselines under the same demand. Used by one thread. */
@Command(name = "measure", description = "Compares each decision with its baselines.")
public final class MeasureMain {
  private static final int EXIT_USAGE = 2;
  // Ordinary traffic, and one whose waves exceed the capacity for a while.
  private static final double[] UNEVEN_RUNNERS_LOADS = {0.45, 0.8};

  @Option(name = "--user", description = "user profile: cooperative or consortium")
  private String user = "cooperative";

  @Option(name = "--seed", description = "the first seed")
  private long seed = 1;

  @Option(name = "--seeds", description = "number of consecutive seeds")
  private int seeds = 5;

  @Option(name = "--scenario", description = "run only this scenario")
  private String scenario = "";

  @Option(name = "--decision", description = "compare only with the baselines of this decision")
  private String decision = "";

  @Option(name = "--threads", description = "concurrent runs; does not affect the results")
  private int threads = 2;

  @Option(name = "--routing-speed", description = "only measure the latency of routing decisions")
  private boolean routingSpeed = false;

  @Option(name = "--uneven-runners", description = "only compare choices among uneven runners")
  private boolean unevenRunners = false;

  /** Runs the command. */
  public static void main(String[] arguments) {
    try {
      SingleCommand.singleCommand(MeasureMain.class).parse(arguments).run(System.out);
    } catch (ParseException | IllegalArgumentException exception) {
      System.err.println("measure: " + exception.getMessage());
      System.exit(EXIT_USAGE);
    }
  }

  private void run(PrintStream out) {
    if (routingSpeed) {
      new RoutingBenchmark().run(out);
      return;
    }
    if (unevenRunners) {
      measureUnevenRunners(out);
      return;
    }
    UserProfile profile = UserProfile.named(user);
    out.printf("user=%s seeds=%d..%d%n", user, seed, seed + seeds - 1);
    ExecutorService workers = Executors.newFixedThreadPool(threads);
    try {
      for (Scenario each : scenarios()) {
        out.print(Summary.heading());
        measure(profile, each, workers, out);
        out.println();
      }
    } finally {
      workers.shutdown();
    }
  }

  private void measureUnevenRunners(PrintStream out) {
    for (double load : UNEVEN_RUNNERS_LOADS) {
      for (UnevenRunnersReplay.Policy policy : UnevenRunnersReplay.Policy.values()) {
        for (long next = seed; next < seed + seeds; next++) {
          UnevenRunnersReplay.Outcome outcome = new UnevenRunnersReplay(policy, load, next).run();
          out.printf(
              "uneven-runners load=%.2f choice=%s seed=%d in_aim=%.4f mean_ms=%.0f p95_ms=%.0f"
                  + " busiest_to_mean=%.2f busiest_backlog_ms=%.0f other_region=%.3f%n",
              load,
              policy,
              next,
              outcome.inAimShare(),
              outcome.meanMilliseconds(),
              outcome.lateMilliseconds(),
              outcome.busiestToMean(),
              outcome.busiestBacklogMilliseconds(),
              outcome.otherRegionShare());
        }
      }
    }
  }

  private List<Scenario> scenarios() {
    if (scenario.isEmpty()) {
      return List.of(Scenario.values());
    }
    return Arrays.stream(Scenario.values()).filter(each -> each.label().equals(scenario)).toList();
  }

  private List<Variant> variants() {
    List<Variant> variants = new ArrayList<>();
    variants.add(Variant.oracle());
    variants.add(Variant.production());
    Variant.baselines().stream()
        .filter(each -> decision.isEmpty() || each.decision().equals(decision))
        .forEach(variants::add);
    return variants;
  }

  private void measure(
      UserProfile profile, Scenario each, ExecutorService workers, PrintStream out) {
    for (Variant variant : variants()) {
      Summary summary = new Summary(each, variant, profile.runnerDomains().size());
      List<CompletableFuture<Measurement>> runs = new ArrayList<>();
      for (long next = seed; next < seed + seeds; next++) {
        long current = next;
        runs.add(
            CompletableFuture.supplyAsync(
                () -> new Driver(profile, each, variant, current).run(), workers));
      }
      runs.forEach(run -> summary.add(run.join()));
      out.print(summary.row(variant.decision()));
      out.flush();
    }
  }
}
