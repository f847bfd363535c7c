package org.agatefield.daemon.placing;

import io.vertx.core.Context;
import org.agatefield.daemon.core.InvariantMonitor.Invariant;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Upstream;
import org.agatefield.placement.RunnerObservation;

/**
 * Requests load reports from engines, with at most one request in flight for each runner.
 *
 * <p>Invariant: a runner's observation is never replaced by one that was requested earlier.
 * Confined to the planner's context.
 */
final class LoadReportPoller {
  private final PlacementContext placementContext;

  LoadReportPoller(PlacementContext placementContext) {
    this.placementContext = placementContext;
  }

  /** Requests a report from a runner, unless a request is in flight. */
  void poll(Upstream runner, RunnerState state) {
    if (!state.startPoll()) {
      return;
    }
    Context context = placementContext.vertx().getOrCreateContext();
    long requestedAt = System.nanoTime();
    placementContext
        .engines()
        .loadReport(runner.address())
        .whenComplete(
            (report, failure) ->
                context.runOnContext(ignored -> pollCompleted(runner, state, requestedAt, report)));
  }

  private void pollCompleted(
      Upstream runner, RunnerState state, long requestedAt, LoadReport report) {
    state.endPoll();
    if (report == null) {
      return;
    }
    state.observe(new RunnerObservation(report, requestedAt), System.nanoTime());
    placementContext
        .monitor()
        .check(
            Invariant.MEMORY,
            report.usedMegabytes() <= report.memoryMegabytes(),
            () -> runner.name() + " reports more memory used than available: " + report);
  }
}
