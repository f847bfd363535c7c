package org.agatefield.daemon.quarantine;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.function.Supplier;
import org.agatefield.forwarding.CrashAttribution;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.Closer;
import org.agatefield.model.Upstream;
import org.agatefield.peer.PeerMessage;
import org.agatefield.store.ObjectStore;

/**
 * Keeps requests that crash upstreams away from them, for callers on any thread.
 *
 * <p>Invariants: the quarantine and the crash detector run on one context only; other threads read
 * an immutable snapshot that is replaced after each step on that context. Upstreams of a
 * configuration have no start time, so the time at which a loss is noticed identifies the process
 * that was lost, rounded so that instances that notice the same crash mostly agree on it; those
 * that do not record two crashes, which count as two occurrences if they are 50 ms apart. Requests
 * that were sent before that loss belong to the same process. Thread-safe.
 */
public final class CrashProtection implements AutoCloseable {
  private static final int PROBE_CONNECT_MILLISECONDS = 1_000;

  private final Closer closer = new Closer();
  private final Vertx vertx;
  private final Context context;
  private final RequestQuarantine quarantine;
  private final CrashDetector crashes;
  private final Supplier<Set<String>> leavingUpstreams;
  private final Map<String, Loss> lastLosses = new HashMap<>(); // By name of the upstream.
  private volatile Map<String, Long> quarantinedUntil = Map.of();

  /** The last loss of an upstream; times are wall-clock milliseconds. */
  private record Loss(long at, long process) {}

  /**
   * Creates a protection that knows nothing until {@link #start()}.
   *
   * @param leavingUpstreams the names of upstreams whose end is no crash; called on any thread
   * @param random returns a random number below its argument
   */
  public CrashProtection(
      Vertx vertx,
      ObjectStore store,
      RequestQuarantine.Fleet fleet,
      Supplier<Set<String>> leavingUpstreams,
      IntUnaryOperator random,
      MetricRegistry metrics) {
    this.vertx = vertx;
    this.context = vertx.getOrCreateContext();
    this.leavingUpstreams = leavingUpstreams;
    Timers timers = this::schedule;
    quarantine =
        new RequestQuarantine(
            CrashProtection::monotonicMilliseconds,
            timers,
            fleet,
            new QuarantineRecords(store, System::currentTimeMillis, timers),
            random,
            trait -> {});
    NetClient prober =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(PROBE_CONNECT_MILLISECONDS));
    closer.register(prober::close);
    Counter crashCount = metrics.counter("agatefield.runners.crashes");
    crashes =
        new CrashDetector(
            vertx,
            new ConnectionProbe(prober),
            CrashProtection::monotonicMilliseconds,
            (process, traits) -> {
              crashCount.inc();
              quarantine.crashed(process, traits);
            });
    metrics.registerGauge(
        "agatefield.requests.quarantined-traits", (Gauge<Integer>) () -> quarantinedUntil.size());
  }

  /** Reads what is quarantined, and begins to exchange evidence with the other instances. */
  public void start() {
    run(quarantine::start);
    long timer =
        vertx.setPeriodic(
            RequestQuarantine.EXCHANGE_MILLISECONDS,
            fired -> run(() -> quarantine.exchange(monotonicMilliseconds())));
    closer.register(() -> vertx.cancelTimer(timer));
  }

  /** Returns the time until the quarantine of a request ends; empty if it is not quarantined. */
  public Optional<Duration> quarantinedFor(RequestFingerprint request) {
    return Optional.ofNullable(quarantinedUntil.get(request.value()))
        .map(until -> until - monotonicMilliseconds())
        .filter(remaining -> remaining > 0)
        .map(Duration::ofMillis);
  }

  /**
   * Records that an upstream failed a request before its response had begun; whether the upstream
   * crashed is then examined.
   *
   * @param sentAt the wall-clock time of the attempt in milliseconds
   */
  public void failed(Upstream upstream, RequestFingerprint request, long sentAt) {
    // The next upstream is chosen at once, whatever is found out about this one.
    run(() -> crashes.disconnected(process(upstream, sentAt), List.of(request.value()), () -> {}));
  }

  /** Records that an upstream sent nothing for a request before its deadline. */
  public void stalled(Upstream upstream, RequestFingerprint request, long sentAt) {
    run(() -> crashes.stalled(process(upstream, sentAt), List.of(request.value())));
  }

  /** Records that an upstream began its response to a request and continued to run. */
  public void survived(RequestFingerprint request) {
    run(() -> quarantine.survived(List.of(request.value())));
  }

  /** Applies what another instance knows. */
  public void evidenceReceived(PeerMessage.CrashEvidence evidence) {
    run(() -> quarantine.evidenceReceived(evidence));
  }

  /** Writes to the store what it has lost, because it came back from an older copy. */
  public void storeLostHistory() {
    run(quarantine::storeLostHistory);
  }

  @Override
  public void close() {
    closer.close();
  }

  private UpstreamProcess process(Upstream upstream, long sentAt) {
    long now = System.currentTimeMillis();
    Loss last = lastLosses.get(upstream.name());
    if (last == null || sentAt > last.at()) {
      last = new Loss(now, now - now % CrashAttribution.SEPARATE_MILLISECONDS);
      lastLosses.put(upstream.name(), last);
    }
    boolean leaving = leavingUpstreams.get().contains(upstream.name());
    return new UpstreamProcess(upstream.name(), last.process(), upstream.address(), leaving);
  }

  private void schedule(long milliseconds, Runnable task) {
    context.runOnContext(ignored -> vertx.setTimer(Math.max(1, milliseconds), fired -> step(task)));
  }

  private void run(Runnable task) {
    context.runOnContext(ignored -> step(task));
  }

  private void step(Runnable task) {
    task.run();
    if (quarantine.size() > 0 || !quarantinedUntil.isEmpty()) {
      quarantinedUntil = quarantine.endTimes();
    }
  }

  private static long monotonicMilliseconds() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
