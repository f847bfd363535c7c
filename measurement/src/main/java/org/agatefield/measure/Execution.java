package org.agatefield.measure;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.RunState;

/**
 * The execution of a request by an entry instance, from admission to the last attempt on an
 * upstream. Confined to the driver's thread.
 */
final class Execution implements RunnerAttempt.Listener {
  private static final RequestFingerprint FINGERPRINT =
      RequestFingerprint.of("POST", "/", Optional.empty(), new byte[0]);

  final EntryInstance entry;
  private final Driver driver;
  private final CallerRequest owner;
  private CompletableFuture<Dispatch> future;
  private Dispatch dispatch;
  private Runner runner;
  private RunnerAttempt attempt;
  private boolean answering;
  private boolean reachedRunner;
  private boolean done;

  Execution(Driver driver, CallerRequest owner, EntryInstance entry) {
    this.driver = driver;
    this.owner = owner;
    this.entry = entry;
  }

  void start() {
    Arrival arrival = owner.arrival;
    ModelRequest request =
        new ModelRequest(
            driver.nextRequestId(),
            FINGERPRINT,
            Fleet.callerName(arrival.caller()),
            arrival.model(),
            arrival.priority(),
            Duration.ofNanos(Math.max(0, arrival.deadline() - driver.events.now())),
            arrival.promptTokens() * 4L,
            arrival.promptTokens(),
            arrival.maximumTokens(),
            arrival.prefixHashes());
    await(entry.dispatcher.acquire(request));
  }

  boolean isDone() {
    return done;
  }

  double busyNanoseconds() {
    return attempt == null ? 0 : attempt.busyNanoseconds;
  }

  /** Cancels the execution because its caller no longer waits for it. */
  void cancel() {
    if (done) {
      return;
    }
    done = true;
    if (attempt != null) {
      runner.cancel(attempt);
    }
    if (dispatch == null) {
      future.cancel(false);
    } else {
      dispatch.finished(DispatchOutcome.CANCELLED);
    }
  }

  private void await(CompletableFuture<Dispatch> acquired) {
    future = acquired;
    dispatch = null;
    acquired.whenComplete(
        (found, failure) -> {
          if (done) {
            return;
          }
          if (failure != null) {
            refused(AgatefieldException.from(failure));
          } else {
            dispatched(found);
          }
        });
  }

  private void refused(AgatefieldException failure) {
    done = true;
    driver.measurement.refusedAttempts++;
    if (failure.runState() == RunState.NO && reachedRunner) {
      driver.measurement.falseRefusals++;
    }
    owner.refused(this, failure.retryAfter().orElse(Duration.ofSeconds(1)));
  }

  private void dispatched(Dispatch found) {
    dispatch = found;
    runner = driver.fleet.runners.get(found.upstream().name());
    double delay = driver.latencyMilliseconds(entry, found.upstream());
    String adapter = found.adapter().orElse("");
    if (!adapter.isEmpty() && runner.loadedAdapters.add(adapter)) {
      delay += driver.times.adapterLoadMilliseconds();
    }
    driver.events.after(delay, () -> arriveAtRunner(found));
  }

  private void arriveAtRunner(Dispatch current) {
    if (done || dispatch != current) {
      return;
    }
    if (!runner.isAlive()) {
      await(entry.dispatcher.reacquire(current, DispatchOutcome.UNREACHABLE));
      return;
    }
    if (runner.isUnreachable()) {
      driver.events.after(Driver.CONNECT_TIMEOUT_MILLISECONDS, () -> connectTimedOut(current));
      return;
    }
    reachedRunner = true;
    if (!entry.region().equals(current.upstream().failureDomain().region())) {
      driver.measurement.linkBytes += driver.linkBytes(owner.arrival);
    }
    attempt = new RunnerAttempt(owner.arrival, this);
    runner.accept(attempt);
  }

  private void connectTimedOut(Dispatch current) {
    if (!done && dispatch == current) {
      await(entry.dispatcher.reacquire(current, DispatchOutcome.UNREACHABLE));
    }
  }

  @Override
  public void firstToken() {
    RunnerAttempt current = attempt;
    driver.events.after(
        driver.latencyMilliseconds(entry, dispatch.upstream()),
        () -> {
          if (!done && attempt == current) {
            answering = true;
            dispatch.responseStarted();
            owner.firstToken(this);
          }
        });
  }

  @Override
  public void completed() {
    RunnerAttempt current = attempt;
    driver.events.after(
        driver.latencyMilliseconds(entry, dispatch.upstream()),
        () -> {
          if (!done && attempt == current) {
            done = true;
            dispatch.finished(DispatchOutcome.SUCCEEDED);
            owner.completed(this);
          }
        });
  }

  @Override
  public void failed() {
    driver.events.after(
        driver.latencyMilliseconds(entry, dispatch.upstream()),
        () -> {
          if (done) {
            return;
          }
          if (answering) {
            done = true;
            dispatch.finished(DispatchOutcome.FAILED);
            owner.failed(this);
          } else {
            attempt = null;
            await(entry.dispatcher.reacquire(dispatch, DispatchOutcome.FAILED));
          }
        });
  }
}
