package org.agatefield.daemon.dispatch;

import java.util.Set;
import org.agatefield.admission.AdaptiveLimit;
import org.agatefield.admission.ConcurrencyLimit;
import org.agatefield.model.LoadReport;
import org.agatefield.model.Upstream;
import org.agatefield.routing.Candidate;
import org.agatefield.routing.UpstreamLoad;

/**
 * Tracks the load and the concurrency limit of one upstream as this instance knows them. Guarded by
 * the dispatcher's lock.
 */
final class UpstreamState {
  private static final int MINIMUM_LIMIT = 1;
  private static final int INITIAL_LIMIT = 32;
  private static final int MAXIMUM_LIMIT = 1_024;

  private final UpstreamLoad load = new UpstreamLoad();
  private final ConcurrencyLimit limit =
      new AdaptiveLimit(MINIMUM_LIMIT, INITIAL_LIMIT, MAXIMUM_LIMIT);
  private LoadReport lastReport;
  private Set<String> loadedAdapters = Set.of();

  /** Applies a load report; returns whether the engine has restarted since the previous report. */
  boolean reported(LoadReport report, long nowNanoseconds) {
    if (report == lastReport) {
      return false;
    }
    final boolean restarted =
        lastReport != null && !lastReport.bootIdentifier().equals(report.bootIdentifier());
    lastReport = report;
    loadedAdapters = Set.copyOf(report.adapters());
    load.reported(report.runningRequests(), report.waitingRequests(), nowNanoseconds);
    limit.reported(report.runningRequests(), report.waitingRequests());
    return restarted;
  }

  void sent() {
    load.sent();
  }

  void finished() {
    load.finished();
  }

  void succeeded(long nanoseconds, double deadlineFraction, long nowNanoseconds) {
    limit.succeeded(load.outstanding(nowNanoseconds), deadlineFraction);
    load.recordServiceTime(nanoseconds);
  }

  void rejected() {
    limit.rejected();
  }

  int limit() {
    return limit.limit();
  }

  double utilization(long nowNanoseconds) {
    return (double) load.outstanding(nowNanoseconds) / limit.limit();
  }

  boolean hasCapacity(long nowNanoseconds) {
    return load.outstanding(nowNanoseconds) < limit.limit();
  }

  Candidate candidate(Upstream upstream, boolean draining, Target target, long nowNanoseconds) {
    boolean adapterLoaded = target.adapter().map(loadedAdapters::contains).orElse(true);
    return new Candidate(
        upstream.name(),
        upstream.failureDomain().region(),
        load.outstanding(nowNanoseconds),
        limit.limit(),
        draining,
        adapterLoaded,
        load.nanosecondsPerRequest());
  }
}
