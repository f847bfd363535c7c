package org.agatefield.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.agatefield.admission.AdmissionQueue;
import org.agatefield.admission.Offer;
import org.agatefield.admission.QueuedRequest;
import org.agatefield.admission.Refusal;
import org.agatefield.admission.Selection;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;
import org.agatefield.model.Upstream;
import org.agatefield.routing.Candidate;
import org.agatefield.routing.Choice;
import org.agatefield.routing.CrossRegionRule;
import org.agatefield.routing.LoadSlowdown;
import org.agatefield.routing.UpstreamChooser;

/**
 * Dispatches queued requests to upstreams.
 *
 * <p>Invariants: each pending request is either queued, running on one upstream, or finished; no
 * request is sent to a leaving upstream; attempt numbers increase. Guarded by the dispatcher's
 * lock. Completions of futures are collected and run by the dispatcher after it has released the
 * lock.
 */
final class DispatchCore {
  private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofSeconds(1);

  private final TargetIndex index;
  private final UpstreamTable upstreams;
  private final UpstreamChooser chooser;
  private final CrossRegionRule crossing;
  private final AdmissionQueue queue;
  private final DemandMeter demand;
  private final DecisionLog decisions;
  private final DispatchMetrics metrics;
  private final InvariantMonitor monitor;
  private final RoutedDispatch.Listener listener;
  private final LoadSlowdown slowdown = new LoadSlowdown();
  private final Map<Long, PendingRequest> waiting = new HashMap<>();
  private List<Runnable> completions = new ArrayList<>();
  private Set<String> leaving = Set.of();
  private long lastAttemptNumber;

  DispatchCore(
      TargetIndex index,
      UpstreamTable upstreams,
      UpstreamChooser chooser,
      CrossRegionRule crossing,
      AdmissionQueue queue,
      DemandMeter demand,
      DecisionLog decisions,
      DispatchMetrics metrics,
      InvariantMonitor monitor,
      RoutedDispatch.Listener listener) {
    this.index = index;
    this.upstreams = upstreams;
    this.chooser = chooser;
    this.crossing = crossing;
    this.queue = queue;
    this.demand = demand;
    this.decisions = decisions;
    this.metrics = metrics;
    this.monitor = monitor;
    this.listener = listener;
  }

  /** Updates the leaving upstreams, the configuration and the replicas. */
  void refresh(Set<String> leavingUpstreams) {
    leaving = leavingUpstreams;
    index.refresh(leavingUpstreams);
  }

  /** Returns and clears the completions, which the caller runs after releasing the lock. */
  List<Runnable> drainCompletions() {
    List<Runnable> taken = completions;
    completions = new ArrayList<>();
    return taken;
  }

  /** Queues a request and dispatches it at once if an upstream has free capacity. */
  void admit(PendingRequest pending, long now) {
    if (index.holders(pending.target).isEmpty()) {
      refuse(pending, ErrorKind.NO_UPSTREAM, "no upstream holds it", NO_UPSTREAM_RETRY_AFTER, now);
      return;
    }
    waiting.put(pending.queued.id(), pending);
    Offer offer = queue.offer(pending.queued, now);
    offer.refused().forEach(refusal -> refuse(refusal, now));
    if (offer.queued()) {
      candidatesWithCapacity(pending, now)
          .forEach(candidate -> dispatchWaiting(candidate.upstream(), now));
    }
  }

  /** Returns whether every upstream that holds the request's target has failed this request. */
  boolean allHoldersFailed(PendingRequest pending) {
    return index.holders(pending.target).stream()
        .allMatch(holder -> pending.failedUpstreams.contains(holder.upstream().name()));
  }

  /** Removes a request from the queue after its caller cancelled it. */
  void cancel(PendingRequest pending) {
    if (queue.cancel(pending.queued.id())) {
      waiting.remove(pending.queued.id());
    }
  }

  /**
   * Refuses queued requests that can no longer meet their deadline and dispatches those that fit.
   */
  void tick(long now) {
    queue.expire(now).forEach(refusal -> refuse(refusal, now));
    for (PendingRequest pending : List.copyOf(oneRequestPerTarget().values())) {
      candidatesWithCapacity(pending, now)
          .forEach(candidate -> dispatchWaiting(candidate.upstream(), now));
    }
  }

  void responseStarted(RoutedDispatch dispatch, long now) {
    long nanoseconds = now - dispatch.sentNanoseconds();
    upstreams.firstPartReceived(dispatch.upstream().name(), nanoseconds, now);
  }

  /**
   * Releases the capacity of a finished attempt and dispatches waiting requests to the upstream.
   */
  void finished(RoutedDispatch dispatch, DispatchOutcome outcome, long now) {
    PendingRequest pending = dispatch.pending();
    String upstream = dispatch.upstream().name();
    long nanoseconds = now - dispatch.sentNanoseconds();
    double utilization = upstreams.state(upstream).utilization(now);
    queue.finished(pending.target.name());
    if (outcome == DispatchOutcome.SUCCEEDED) {
      queue.recordServiceTime(pending.target.name(), pending.queued.cost(), nanoseconds, now);
      slowdown.recordServiceTime(utilization, nanoseconds / pending.queued.cost());
    }
    if (upstreams.finished(dispatch, outcome, now)) {
      metrics.ejections.inc();
      decisions.ejected(upstream, outcome);
    }
    double runnerSeconds =
        nanoseconds
            / 1e9
            / upstreams.state(upstream).limit()
            * slowdown.fullLoadFactor(utilization);
    demand.busy(pending.target.deployment(), runnerSeconds, now);
    dispatchWaiting(upstream, now);
  }

  /** Fails a request before any byte of the current attempt was sent. */
  void refuse(
      PendingRequest pending, ErrorKind kind, String reason, Duration retryAfter, long now) {
    waiting.remove(pending.queued.id());
    metrics.refused(kind);
    demand.refused(pending.target.deployment(), pending.fingerprint, now);
    decisions.refused(
        pending.requestId, pending.target.name(), "refused=" + kind.code() + " why=" + reason);
    AgatefieldException failure =
        pending.mayHaveRun
            ? new AgatefieldException(
                ErrorKind.UPSTREAM_FAILED,
                RunState.UNKNOWN,
                "an attempt failed and no other attempt is possible: " + reason,
                retryAfter,
                null)
            : new AgatefieldException(kind, reason, retryAfter);
    var future = pending.future;
    completions.add(() -> future.completeExceptionally(failure));
  }

  private void refuse(Refusal refusal, long now) {
    PendingRequest pending = waiting.get(refusal.request().id());
    if (pending != null) {
      refuse(pending, refusal.kind(), refusal.reason(), refusal.retryAfter(), now);
    }
  }

  /** Dispatches waiting requests to an upstream until it is full or no request can use it. */
  private void dispatchWaiting(String upstream, long now) {
    boolean sent = true;
    while (sent && queue.size() > 0 && upstreams.state(upstream).hasCapacity(now)) {
      sent = sendNext(upstream, now);
    }
  }

  private boolean sendNext(String upstream, long now) {
    Map<String, List<Candidate>> servable = new LinkedHashMap<>();
    for (Map.Entry<String, PendingRequest> entry : oneRequestPerTarget().entrySet()) {
      List<Candidate> candidates = candidatesWithCapacity(entry.getValue(), now);
      if (candidates.stream().anyMatch(each -> each.upstream().equals(upstream))) {
        servable.put(entry.getKey(), candidates);
      }
    }
    if (servable.isEmpty()) {
      return false;
    }
    Selection selection = queue.next(upstream, servable.keySet(), now);
    selection.refused().forEach(refusal -> refuse(refusal, now));
    if (selection.chosen().isEmpty()) {
      return false;
    }
    PendingRequest pending = waiting.remove(selection.chosen().get().id());
    send(pending, servable.get(pending.target.name()), now);
    return true;
  }

  private void send(PendingRequest pending, List<Candidate> servable, long now) {
    List<Candidate> untried =
        servable.stream()
            .filter(each -> !pending.failedUpstreams.contains(each.upstream()))
            .toList();
    List<Candidate> candidates = untried.isEmpty() ? servable : untried;
    Choice choice = chooser.choose(pending.routing, candidates, now).orElseThrow();
    String name = choice.candidate().upstream();
    final Upstream upstream = index.upstream(name).orElseThrow();
    monitor.check(
        InvariantMonitor.Invariant.LEAVING_UPSTREAM,
        !leaving.contains(name),
        () -> "request " + pending.requestId + " was routed to leaving upstream " + name);
    lastAttemptNumber++;
    if (!pending.wasSent) {
      pending.wasSent = true;
      demand.admitted(pending.target.deployment(), now);
    }
    upstreams.state(name).sent();
    queue.started(pending.target.name());
    chooser.sent(pending.routing, name);
    metrics.dispatched.inc();
    decisions.chosen(
        pending.requestId, lastAttemptNumber, pending.target.name(), choice, candidates);
    deliver(pending, new RoutedDispatch(listener, pending, lastAttemptNumber, upstream, now));
  }

  /**
   * Delivers the attempt; if the caller has cancelled meanwhile, the attempt's capacity is
   * released.
   */
  private void deliver(PendingRequest pending, RoutedDispatch dispatch) {
    var future = pending.future;
    completions.add(
        () -> {
          if (!future.complete(dispatch)) {
            dispatch.finished(DispatchOutcome.CANCELLED);
          }
        });
  }

  /**
   * Returns the eligible upstreams with free capacity; other regions only if crossing is
   * worthwhile.
   */
  private List<Candidate> candidatesWithCapacity(PendingRequest pending, long now) {
    List<Candidate> eligible =
        upstreams.eligible(
            pending.target, index.holders(pending.target), pending.failedUpstreams, now);
    String region = pending.routing.region();
    boolean heldInRegion = false;
    for (Candidate candidate : eligible) {
      heldInRegion |= candidate.region().equals(region);
    }
    boolean mayLeaveRegion =
        !heldInRegion
            || crossing.isWorthwhile(queue.expectedDrainNanoseconds(pending.target.name()));
    List<Candidate> candidatesWithCapacity = new ArrayList<>(eligible.size());
    for (Candidate candidate : eligible) {
      if (candidate.hasCapacity() && (mayLeaveRegion || candidate.region().equals(region))) {
        candidatesWithCapacity.add(candidate);
      }
    }
    return candidatesWithCapacity;
  }

  private Map<String, PendingRequest> oneRequestPerTarget() {
    Map<String, PendingRequest> targets = new LinkedHashMap<>();
    for (QueuedRequest each : queue.oneRequestPerTarget()) {
      Optional.ofNullable(waiting.get(each.id()))
          .ifPresent(pending -> targets.put(each.target(), pending));
    }
    return targets;
  }
}
