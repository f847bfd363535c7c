package org.agatefield.daemon.http;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.InvariantMonitor.Invariant;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Shuts an instance down gracefully, without interrupting requests.
 *
 * <p>Invariant: the steps follow one another in this order and are never reverted: serving;
 * leaving, in which new requests are still served until no caller can hold a valid entry answer
 * that names this instance; draining, in which new requests are refused and running ones finish;
 * over, in which those that still run are answered. Safe for use by any thread; the only lock is
 * {@code this}.
 */
public final class ShutdownCoordinator {
  private static final Logger LOGGER = LogManager.getLogger(ShutdownCoordinator.class);
  private static final long CHECK_INTERVAL_MILLISECONDS = 20;
  // Covers the writing of short answers.
  private static final long ANSWER_MILLISECONDS = 500;

  private final Vertx vertx;
  private final Duration entryTimeToLive;
  private final Duration propagationAllowance;
  private final Duration drainTimeout;
  private final IntSupplier runningCalls;
  private final InvariantMonitor monitor;
  private final LongSupplier clock;
  private final CompletableFuture<Boolean> shutdownResult = new CompletableFuture<>();
  private final Map<Object, Runnable> interruptions = new LinkedHashMap<>();
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
   * @param entryTimeToLive how long callers may use an entry answer that names this instance
   * @param propagationAllowance how long other instances may still name this one after it has
   *     announced that it is leaving
   * @param drainTimeout maximum time to wait for running requests
   * @param runningCalls number of non-repeatable calls whose outcome is not stored yet
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
   * Starts the shutdown; later calls return the same future.
   *
   * @param announceLeaving announces to the other instances that this one is leaving; called once
   * @return completes when the shutdown is over, with whether no request was interrupted
   */
  public CompletableFuture<Boolean> beginShutdown(Runnable announceLeaving) {
    synchronized (this) {
      if (step != Step.SERVING) {
        return shutdownResult;
      }
      step = Step.LEAVING;
      leavingSinceNanoseconds = clock.getAsLong();
    }
    LOGGER.info("shutdown started entry_time_to_live={} running={}", entryTimeToLive, running());
    announceLeaving.run();
    vertx.setPeriodic(CHECK_INTERVAL_MILLISECONDS, this::check);
    return shutdownResult;
  }

  /** Returns whether the shutdown has started. */
  public synchronized boolean isLeaving() {
    return step != Step.SERVING;
  }

  /**
   * Returns whether this instance certainly runs until a request that begins now has used up the
   * given time; a request that begins while it is leaving has the whole drain timeout.
   */
  synchronized boolean outlasts(Duration remaining) {
    return step == Step.SERVING || remaining.compareTo(drainTimeout) <= 0;
  }

  /** Records that an entry answer that names this instance is being sent. */
  public synchronized void recordEntryAnswer() {
    lastEntryAnswerNanoseconds = clock.getAsLong();
  }

  /** Returns the number of running caller requests. */
  public synchronized int running() {
    return runningRequests;
  }

  /** Registers a new request; returns false if new requests are refused. */
  synchronized boolean tryBeginRequest() {
    if (step == Step.DRAINING || step == Step.OVER) {
      return false;
    }
    runningRequests++;
    return true;
  }

  /** Returns an action that deregisters one registered request; running it again has no effect. */
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

  /**
   * Registers how a running request is answered if it outlasts the drain timeout.
   *
   * @return an action that removes the registration; running it again has no effect
   */
  synchronized Runnable registerInterruption(Runnable answer) {
    Object registration = new Object();
    interruptions.put(registration, answer);
    return () -> removeInterruption(registration);
  }

  private synchronized void removeInterruption(Object registration) {
    interruptions.remove(registration);
  }

  private synchronized List<Runnable> registeredInterruptions() {
    return List.copyOf(interruptions.values());
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
        () ->
            "still running after the drain timeout of "
                + drainTimeout
                + ": requests="
                + requests
                + " calls="
                + calls);
    LOGGER.info("shutdown finished whole={} requests={} calls={}", whole, requests, calls);
    answerRunning(whole);
  }

  /** Answers the requests that still run, so that no connection closes without an answer. */
  private void answerRunning(boolean whole) {
    List<Runnable> answers = registeredInterruptions();
    if (answers.isEmpty()) {
      shutdownResult.complete(whole);
      return;
    }
    answers.forEach(Runnable::run);
    vertx.setTimer(ANSWER_MILLISECONDS, fired -> shutdownResult.complete(whole));
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

  /**
   * Returns the last time at which an entry answer may have named this instance; other instances
   * may name it until the announcement has reached them.
   */
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
