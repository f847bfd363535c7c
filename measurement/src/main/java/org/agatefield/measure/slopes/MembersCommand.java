package org.agatefield.measure.slopes;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.concurrent.Callable;

/** Measures membership of one group over a simulated network. Used by one thread. */
@Command(name = "members", description = "Membership in memory: messages and processor time")
public final class MembersCommand implements Callable<Integer> {
  private static final int REGIONS = 3;

  @Option(name = "--members", description = "numbers of members, separated by commas")
  private String members = "8,32,64,128,256,370";

  @Option(name = "--seconds", description = "duration of the measurement in simulated seconds")
  private int seconds = 120;

  @Option(name = "--settle-seconds", description = "simulated seconds before the measurement")
  private int settleSeconds = 180;

  @Option(name = "--seed", description = "seed of the random number generators")
  private long seed = 1;

  @Option(
      name = "--change-seconds",
      description = "seconds between configuration changes; 0 for none")
  private int changeSeconds = 0;

  @Option(
      name = "--failure-seconds",
      description = "seconds between member replacements; 0 for none")
  private int failureSeconds = 0;

  @Override
  public Integer call() {
    System.out.printf(
        "members seed=%d seconds=%d change_seconds=%d failure_seconds=%d%n",
        seed, seconds, changeSeconds, failureSeconds);
    for (String count : members.split(",")) {
      measure(Integer.parseInt(count.trim()));
    }
    return 0;
  }

  private void measure(int count) {
    MemoryGroup group = new MemoryGroup(seed, REGIONS);
    group.start(count);
    long converged = group.runUntilConverged();
    group.run(settleSeconds * 1_000L);
    MemoryGroup.Totals before = group.totals();
    long processorBefore = ProcessorTime.ofThisThread();
    for (int second = 1; second <= seconds; second++) {
      injectChanges(group, second);
      group.run(1_000);
    }
    final double processor = ProcessorTime.ofThisThread() - processorBefore;
    MemoryGroup.Totals after = group.totals();
    double memberSeconds = (double) count * seconds;
    System.out.printf(
        "members=%d join_ms=%d sent_per_second=%.2f busiest_sent_per_second=%.2f"
            + " busiest_received_per_second=%.2f"
            + " remote_share=%.3f updates_per_message=%.2f processor_us_per_second=%.1f"
            + " generation_ms_worst=%d requests_per_change_worst=%d deaths_seen=%d%n",
        count,
        converged,
        (after.sent() - before.sent()) / memberSeconds,
        (double) group.busiestSent(before) / seconds,
        (double) group.busiestReceived(before) / seconds,
        (after.remote() - before.remote()) / (double) Math.max(1, after.sent() - before.sent()),
        (after.updates() - before.updates()) / (double) Math.max(1, after.sent() - before.sent()),
        processor / 1_000 / memberSeconds,
        group.worstSpreadMilliseconds(),
        group.worstRequests(),
        after.deaths() - before.deaths());
  }

  private void injectChanges(MemoryGroup group, int second) {
    if (changeSeconds > 0 && second % changeSeconds == 0) {
      group.changeConfiguration();
    }
    if (failureSeconds > 0 && second % failureSeconds == 0) {
      group.replaceOne();
    }
  }
}
