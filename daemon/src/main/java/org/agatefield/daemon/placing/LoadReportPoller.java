package org.agatefield.daemon.placing;

import io.vertx.core.Context;
import org.agatefield.daemon.core.InvariantMonitor.Invariant;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Upstream;
import org.agatefield.placement.RunnerObservation;

/**
 * Asks engines for load reports, one request for each runner at a time.
 *
 * <p>Invariant: a runner's observation is never replaced by one that was asked for earlier.
 * Confined to the planner's context.
 */
final class LoadReportPoller {
  private final PlacementContext parts;

  LoadReportPoller(PlacementContext parts) {
    this.parts = parts;
  }

  /** Asks a runner, unless it is being asked. */
  void poll(Upstream runner, RunnerState state) {
    if (!state.startPoll()) {
      return;
    }
    Context context = parts.vertx().getOrCreateContext();
    long askedAt = System.nanoTime();
    parts
        .engines()
        .loadReport(runner.address())
        .whenComplete(
            (report, failure) ->
                context.runOnContext(ignored -> polled(runner, state, askedAt, report)));
  }

  private void polled(Upstream runner, RunnerState state, long askedAt, LoadReport report) {
    state.endPoll();
    if (report == null) {
      return;
    }
    state.observe(new RunnerObservation(report, askedAt), System.nanoTime());
    parts
        .monitor()
        .check(
            Invariant.MEMORY,
            report.usedMegabytes() <= report.memoryMegabytes(),
            () -> runner.name() + " uses more memory than it has: " + report);
  }
}
