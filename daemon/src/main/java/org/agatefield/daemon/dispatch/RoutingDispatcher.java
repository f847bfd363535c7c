package org.agatefield.daemon.dispatch;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.agatefield.admission.AdmissionQueue;
import org.agatefield.admission.QueueBounds;
import org.agatefield.admission.RetryPolicy;
import org.agatefield.daemon.core.ConfigurationSource;
import org.agatefield.daemon.core.DemandSource;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.daemon.core.ReplicaDirectory;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.Closer;
import org.agatefield.model.DemandSample;
import org.agatefield.model.Deployment;
import org.agatefield.model.ErrorKind;
import org.agatefield.routing.PrefixTable;
import org.agatefield.settings.DaemonSettings;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Queues requests and dispatches each to the upstream with the lowest expected response time among
 * those that hold its version.
 *
 * <p>Invariants: each attempt is either dispatched, refused or cancelled; no request is sent to a
 * leaving upstream; attempt numbers increase. Thread-safe. Lock order: {@code lock}, then the locks
 * of the directories and of the decision log. Futures are completed after {@code lock} is released.
 */
public final class RoutingDispatcher
    implements Dispatcher, DemandSource, RoutedDispatch.Listener, AutoCloseable {
  private static final long TICK_MILLISECONDS = 20;
  private static final int PREFIXES_PER_RUNNER = 8_192;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ReentrantLock lock = new ReentrantLock();
  private final InstanceDirectory instances;
  private final LongSupplier clock;
  private final TargetIndex index;
  private final DispatchCore core;
  private final AdmissionQueue queue;
  private final RetryPolicy retries;
  private final DemandMeter demand = new DemandMeter();
  private final DecisionLog decisions = new DecisionLog();
  private final DispatchMetrics metrics;
  private final RequestFactory requests;
  private final String region;
  private final Closer closer = new Closer();
  private long lastRequestNumber;

  /** Creates a dispatcher with the standard policies, driven by a timer of {@code vertx}. */
  public RoutingDispatcher(
      Vertx vertx,
      ConfigurationSource configuration,
      ReplicaDirectory replicas,
      InstanceDirectory instances,
      DaemonSettings.Limits limits,
      MetricRegistry registry,
      InvariantMonitor monitor,
      UniformRandomProvider random) {
    this(
        configuration,
        replicas,
        instances,
        limits,
        registry,
        monitor,
        DispatchPolicies.standard(random),
        System::nanoTime);
    long timer = vertx.setPeriodic(TICK_MILLISECONDS, ignored -> tick());
    closer.register(() -> vertx.cancelTimer(timer));
  }

  /**
   * Creates a dispatcher driven by the caller, which calls {@link #tick()} and supplies the time in
   * nanoseconds by {@code clock}.
   */
  public RoutingDispatcher(
      ConfigurationSource configuration,
      ReplicaDirectory replicas,
      InstanceDirectory instances,
      DaemonSettings.Limits limits,
      MetricRegistry registry,
      InvariantMonitor monitor,
      DispatchPolicies policies,
      LongSupplier clock) {
    this.instances = instances;
    this.clock = clock;
    retries = policies.retries();
    index = new TargetIndex(configuration, replicas);
    queue =
        new AdmissionQueue(
            new QueueBounds(limits.queuedRequests(), limits.queuedBytes()),
            policies.shedding(),
            policies.order());
    metrics = new DispatchMetrics(registry);
    metrics.gauge("queued-requests", () -> locked(queue::size));
    metrics.gauge("queued-bytes", () -> locked(queue::bytes));
    region = instances.self().failureDomain().region();
    requests = new RequestFactory(region);
    PrefixTable prefixes = new PrefixTable(PREFIXES_PER_RUNNER);
    core =
        new DispatchCore(
            index,
            new UpstreamTable(replicas, prefixes),
            policies.chooser().apply(prefixes),
            policies.crossing(),
            queue,
            demand,
            decisions,
            metrics,
            monitor,
            this);
  }

  /**
   * Refuses queued requests that can no longer meet their deadline and dispatches those that fit.
   */
  public void tick() {
    run(core::tick);
  }

  @Override
  public CompletableFuture<Dispatch> acquire(ModelRequest request) {
    return supply(
        now -> {
          Optional<Deployment> deployment = index.deploymentOf(request.model());
          if (deployment.isEmpty()) {
            return failed(ErrorKind.NOT_FOUND, "no model is named '" + request.model() + "'");
          }
          String hash = RequestFactory.fingerprint(request);
          Target target = index.target(request.model(), deployment.get(), hash);
          int weight = index.weightOf(request.caller());
          return admit(requests.model(request, target, ++lastRequestNumber, weight, now), now);
        });
  }

  @Override
  public CompletableFuture<Dispatch> acquire(ServiceRequest request) {
    return supply(
        now -> {
          if (!index.hasService(request.service())) {
            return failed(ErrorKind.NOT_FOUND, "no service is named '" + request.service() + "'");
          }
          Target target = Target.ofService(request.service());
          int weight = index.weightOf(request.caller());
          return admit(requests.service(request, target, ++lastRequestNumber, weight, now), now);
        });
  }

  @Override
  public CompletableFuture<Dispatch> reacquire(Dispatch failed, DispatchOutcome outcome) {
    RoutedDispatch dispatch = (RoutedDispatch) failed;
    failed.finished(outcome);
    return supply(now -> retry(dispatch, outcome, now));
  }

  @Override
  public List<DemandSample> localDemand() {
    return locked(() -> demand.samples(region, clock.getAsLong()));
  }

  /** Returns the latest decision about a request, if it is still retained. */
  public Optional<RoutingExplanation> explain(String requestId) {
    return decisions.explain(requestId);
  }

  @Override
  public void responseStarted(RoutedDispatch dispatch) {
    run(now -> core.responseStarted(dispatch, now));
  }

  @Override
  public void finished(RoutedDispatch dispatch, DispatchOutcome outcome) {
    run(now -> core.finished(dispatch, outcome, now));
  }

  @Override
  public void close() {
    closer.close();
  }

  private CompletableFuture<Dispatch> admit(PendingRequest pending, long now) {
    retries.firstAttempt();
    return enqueue(pending, now);
  }

  private CompletableFuture<Dispatch> retry(
      RoutedDispatch failed, DispatchOutcome outcome, long now) {
    PendingRequest pending = failed.pending();
    pending.future = new CompletableFuture<>();
    pending.failedUpstreams.add(failed.upstream().name());
    pending.mayHaveRun |= mayHaveRun(outcome);
    CompletableFuture<Dispatch> future = pending.future;
    if (outcome == DispatchOutcome.UNREACHABLE && core.allHoldersFailed(pending)) {
      core.refuse(pending, ErrorKind.NO_UPSTREAM, "no upstream could be reached", RETRY_AFTER, now);
      return future;
    }
    boolean continuesAdmittedRequest =
        failed.hasResponseStarted() || outcome == DispatchOutcome.UNREACHABLE;
    if (!continuesAdmittedRequest && !retries.mayRetry()) {
      metrics.retriesOverBudget.inc();
      core.refuse(pending, ErrorKind.OVERLOADED, "the retry budget is exhausted", RETRY_AFTER, now);
      return future;
    }
    metrics.retried.inc();
    return enqueue(pending, now);
  }

  private CompletableFuture<Dispatch> enqueue(PendingRequest pending, long now) {
    CompletableFuture<Dispatch> future = pending.future;
    future.whenComplete(
        (dispatch, failure) -> {
          if (future.isCancelled()) {
            run(later -> core.cancel(pending));
          }
        });
    core.admit(pending, now);
    return future;
  }

  private static boolean mayHaveRun(DispatchOutcome outcome) {
    return outcome != DispatchOutcome.UNREACHABLE && outcome != DispatchOutcome.REJECTED;
  }

  private static CompletableFuture<Dispatch> failed(ErrorKind kind, String message) {
    return CompletableFuture.failedFuture(new AgatefieldException(kind, message));
  }

  /** Computes a result while the lock is held. */
  @FunctionalInterface
  private interface LockedSupplier<T> {
    T execute(long nowNanoseconds);
  }

  /** Runs while the lock is held. */
  @FunctionalInterface
  private interface LockedAction {
    void execute(long nowNanoseconds);
  }

  private void run(LockedAction action) {
    supply(
        now -> {
          action.execute(now);
          return true;
        });
  }

  private <T> T supply(LockedSupplier<T> step) {
    T result;
    List<Runnable> completions;
    lock.lock();
    try {
      core.refresh(instances.leavingUpstreams());
      result = step.execute(clock.getAsLong());
      completions = core.drainCompletions();
    } finally {
      lock.unlock();
    }
    completions.forEach(Runnable::run);
    return result;
  }

  private <T> T locked(Supplier<T> supplier) {
    lock.lock();
    try {
      return supplier.get();
    } finally {
      lock.unlock();
    }
  }
}
