package org.agatefield.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.agatefield.admission.QueuedRequest;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.routing.Candidate;
import org.agatefield.routing.EligibleUpstreams;
import org.agatefield.routing.OutlierDetector;
import org.agatefield.routing.PrefixTable;

/** Tracks the load and health of each upstream. Guarded by the dispatcher's lock. */
final class UpstreamTable {
  private static final long BASE_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

  private final ReplicaDirectory directory;
  private final PrefixTable prefixes;
  private final OutlierDetector outliers = new OutlierDetector(BASE_EJECTION_NANOSECONDS);
  private final EligibleUpstreams eligible = new EligibleUpstreams(outliers);
  private final Map<String, UpstreamState> states = new HashMap<>();

  UpstreamTable(ReplicaDirectory directory, PrefixTable prefixes) {
    this.directory = directory;
    this.prefixes = prefixes;
  }

  /** Returns the holders that may serve the target, including those without free capacity. */
  List<Candidate> eligible(
      Target target, List<TargetIndex.Holder> holders, Set<String> failed, long now) {
    List<Candidate> candidates = new ArrayList<>(holders.size());
    for (TargetIndex.Holder holder : holders) {
      UpstreamState state = refreshed(holder.upstream().name(), now);
      candidates.add(state.candidate(holder.upstream(), holder.draining(), target, now));
    }
    return eligible.of(candidates, failed, now);
  }

  UpstreamState state(String upstream) {
    return states.computeIfAbsent(upstream, ignored -> new UpstreamState());
  }

  void firstPartReceived(String upstream, long nanoseconds, long now) {
    outliers.firstPartReceived(upstream, nanoseconds, now);
  }

  /** Records the outcome of an attempt; returns whether it caused the upstream to be ejected. */
  boolean finished(RoutedDispatch dispatch, DispatchOutcome outcome, long now) {
    String upstream = dispatch.upstream().name();
    UpstreamState state = state(upstream);
    state.finished();
    switch (outcome) {
      case SUCCEEDED:
        state.succeeded(now - dispatch.sentNanoseconds(), deadlineFraction(dispatch, now), now);
        outliers.succeeded(upstream);
        return false;
      case REJECTED:
        state.rejected();
        return false;
      case UNREACHABLE:
      case FAILED:
        return outliers.failed(upstream, now);
      case TIMED_OUT:
        return !dispatch.hasResponseStarted() && outliers.failed(upstream, now);
      default:
        return false;
    }
  }

  private static double deadlineFraction(RoutedDispatch dispatch, long now) {
    QueuedRequest queued = dispatch.pending().queued;
    long allowed = Math.max(1, queued.deadlineNanoseconds() - queued.arrivalNanoseconds());
    return (double) (now - dispatch.sentNanoseconds()) / allowed;
  }

  private UpstreamState refreshed(String upstream, long now) {
    UpstreamState state = state(upstream);
    directory
        .loadReport(upstream)
        .filter(report -> state.reported(report, now))
        .ifPresent(report -> prefixes.forget(upstream));
    return state;
  }
}
