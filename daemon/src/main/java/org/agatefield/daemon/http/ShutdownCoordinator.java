package org.agatefield.daemon.http;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.InvariantMonitor.Invariant;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Takes an instance out of service without cutting a request.
 *
 * <p>The steps: serving; leaving, in which new requests are still served until no caller can hold
 * an entry answer that names this instance; draining, in which new requests are refused and the
 * running ones end; over. Invariant: the steps follow one another in this order and none is taken
 * back. Safe for use by any thread; the one lock is {@code this}.
 */
public final class ShutdownCoordinator {
  private static final Logger LOGGER = LogManager.getLogger(ShutdownCoordinator.class);
  private static final long CHECK_INTERVAL_MILLISECONDS = 20;

  private final Vertx vertx;
  private final Duration entryTimeToLive;
  private final Duration propagationAllowance;
  private final Duration drainTimeout;
  private final IntSupplier runningCalls;
  private final InvariantMonitor monitor;
  private final LongSupplier clock;
  private final CompletableFuture<Boolean> shutdownResult = new CompletableFuture<>();
  private int runningRequests;
  private long lastEntryAnswerNanoseconds;
  private long leavingSinceNanoseconds;
  private long drainingSinceNanoseconds;
  private Step step = Step.SERVING;

  private enum Step {
    SERVING,
    LEAVING,
    DRAINING,
    OVER
  }

  /**
   * Creates the coordinator of a serving instance.
   *
   * @param entryTimeToLive how long callers may keep an answer that names this instance
   * @param propagationAllowance how long other instances may go on naming this one after it has
   *     said that it leaves
   * @param drainTimeout how long running requests are waited for
   * @param runningCalls the calls that must not repeat whose outcome is not yet written
   */
  public ShutdownCoordinator(
      Vertx vertx,
      Duration entryTimeToLive,
      Duration propagationAllowance,
      Duration drainTimeout,
      IntSupplier runningCalls,
      InvariantMonitor monitor) {
    this(
        vertx,
        entryTimeToLive,
        propagationAllowance,
        drainTimeout,
        runningCalls,
        monitor,
        System::nanoTime);
  }

  ShutdownCoordinator(
      Vertx vertx,
      Duration entryTimeToLive,
      Duration propagationAllowance,
      Duration drainTimeout,
      IntSupplier runningCalls,
      InvariantMonitor monitor,
      LongSupplier clock) {
    this.vertx = vertx;
    this.entryTimeToLive = entryTimeToLive;
    this.propagationAllowance = propagationAllowance;
    this.drainTimeout = drainTimeout;
    this.runningCalls = runningCalls;
    this.monitor = monitor;
    this.clock = clock;
  }

  /**
   * Begins to leave; later calls return the same future.
   *
   * @param announceLeaving tells the other instances; called once
   * @return completes when nothing runs any more, with whether no request was cut
   */
  public CompletableFuture<Boolean> beginShutdown(Runnable announceLeaving) {
    synchronized (this) {
      if (step != Step.SERVING) {
        return shutdownResult;
      }
      step = Step.LEAVING;
      leavingSinceNanoseconds = clock.getAsLong();
    }
    LOGGER.info("leaving entry_time_to_live={} running={}", entryTimeToLive, running());
    announceLeaving.run();
    vertx.setPeriodic(CHECK_INTERVAL_MILLISECONDS, this::check);
    return shutdownResult;
  }

  /** Returns whether this instance leaves or has left. */
  public synchronized boolean isLeaving() {
    return step != Step.SERVING;
  }

  /** Records that an entry answer that names this instance is given out. */
  public synchronized void recordEntryAnswer() {
    lastEntryAnswerNanoseconds = clock.getAsLong();
  }

  /** Returns the number of callers' requests that run. */
  public synchronized int running() {
    return runningRequests;
  }

  /** Counts a request in, unless new ones are refused. */
  synchronized boolean tryBeginRequest() {
    if (step == Step.DRAINING || step == Step.OVER) {
      return false;
    }
    runningRequests++;
    return true;
  }

  /** Returns what counts a request out that was counted in; running it again does nothing. */
  Runnable requestCompletion() {
    AtomicBoolean ended = new AtomicBoolean();
    return () -> {
      if (ended.compareAndSet(false, true)) {
        synchronized (this) {
          runningRequests--;
        }
      }
    };
  }

  private void check(long timer) {
    Step reached;
    int requests;
    synchronized (this) {
      reached = advance(clock.getAsLong());
      requests = runningRequests;
    }
    if (reached != Step.OVER) {
      return;
    }
    vertx.cancelTimer(timer);
    int calls = runningCalls.getAsInt();
    boolean whole = requests == 0 && calls == 0;
    monitor.check(
        Invariant.GRACEFUL_SHUTDOWN,
        whole,
        () -> "cut after " + drainTimeout + ": requests=" + requests + " calls=" + calls);
    LOGGER.info("left whole={} requests={} calls={}", whole, requests, calls);
    shutdownResult.complete(whole);
  }

  private Step advance(long now) {
    if (step == Step.LEAVING && now - lastPossibleEntryAnswer() >= entryTimeToLive.toNanos()) {
      step = Step.DRAINING;
      drainingSinceNanoseconds = now;
    }
    if (step == Step.DRAINING
        && (isIdle() || now - drainingSinceNanoseconds >= drainNanoseconds())) {
      step = Step.OVER;
    }
    return step;
  }

  /** Other instances may name this one until they have heard that it leaves. */
  private long lastPossibleEntryAnswer() {
    long lastByOthers = leavingSinceNanoseconds + propagationAllowance.toNanos();
    boolean ownIsLater =
        lastEntryAnswerNanoseconds != 0 && lastEntryAnswerNanoseconds - lastByOthers > 0;
    return ownIsLater ? lastEntryAnswerNanoseconds : lastByOthers;
  }

  private boolean isIdle() {
    return runningRequests == 0 && runningCalls.getAsInt() == 0;
  }

  private long drainNanoseconds() {
    return drainTimeout.toNanos();
  }
}
