package org.agatefield.measure;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.RunState;

/**
 * A request inside an entry instance, from admission to its last attempt upstream. Confined to the
 * driver's thread.
 */
final class Execution implements Work.Listener {
  final EntryInstance entry;
  private final Driver driver;
  private final CallerRequest owner;
  private CompletableFuture<Dispatch> future;
  private Dispatch dispatch;
  private Runner runner;
  private Work work;
  private boolean answering;
  private boolean reachedRunner;
  private boolean over;

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

  boolean isOver() {
    return over;
  }

  double busyNanoseconds() {
    return work == null ? 0 : work.busyNanoseconds;
  }

  /** Ends the execution because nobody waits for it any more. */
  void cancel() {
    if (over) {
      return;
    }
    over = true;
    if (work != null) {
      runner.cancel(work);
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
          if (over) {
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
    over = true;
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
    if (over || dispatch != current) {
      return;
    }
    if (!runner.isAlive()) {
      await(entry.dispatcher.reacquire(current, DispatchOutcome.UNREACHABLE));
      return;
    }
    if (runner.isSilent()) {
      driver.events.after(Driver.CONNECT_TIMEOUT_MILLISECONDS, () -> connectTimedOut(current));
      return;
    }
    reachedRunner = true;
    if (!entry.region().equals(current.upstream().failureDomain().region())) {
      driver.measurement.linkBytes += driver.linkBytes(owner.arrival);
    }
    work = new Work(owner.arrival, this);
    runner.accept(work);
  }

  private void connectTimedOut(Dispatch current) {
    if (!over && dispatch == current) {
      await(entry.dispatcher.reacquire(current, DispatchOutcome.UNREACHABLE));
    }
  }

  @Override
  public void firstToken() {
    Work current = work;
    driver.events.after(
        driver.latencyMilliseconds(entry, dispatch.upstream()),
        () -> {
          if (!over && work == current) {
            answering = true;
            dispatch.responseStarted();
            owner.firstToken(this);
          }
        });
  }

  @Override
  public void whole() {
    Work current = work;
    driver.events.after(
        driver.latencyMilliseconds(entry, dispatch.upstream()),
        () -> {
          if (!over && work == current) {
            over = true;
            dispatch.finished(DispatchOutcome.SUCCEEDED);
            owner.whole(this);
          }
        });
  }

  @Override
  public void failed() {
    driver.events.after(
        driver.latencyMilliseconds(entry, dispatch.upstream()),
        () -> {
          if (over) {
            return;
          }
          if (answering) {
            over = true;
            dispatch.finished(DispatchOutcome.FAILED);
            owner.failed(this);
          } else {
            work = null;
            await(entry.dispatcher.reacquire(dispatch, DispatchOutcome.FAILED));
          }
        });
  }
}
