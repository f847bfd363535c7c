package org.agatefield.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A request from the caller's side. The caller retries until the deadline: at once after an attempt
 * times out, and after {@link #PAUSE_MILLISECONDS} when an attempt is refused or fails. Confined to
 * the driver's thread.
 */
final class CallerRequest {
  private static final double PAUSE_MILLISECONDS = 50;

  final Arrival arrival;
  private final Driver driver;
  private final List<Execution> open = new ArrayList<>();
  private final boolean closesOnTimeout;
  private int attempts;
  private int failedEntries;
  private long firstTokenNanoseconds = Long.MAX_VALUE;
  private boolean done;

  CallerRequest(Driver driver, Arrival arrival) {
    this.driver = driver;
    this.arrival = arrival;
    closesOnTimeout = arrival.caller() % 2 == 0;
  }

  void start() {
    driver.events.at(arrival.deadline(), this::deadline);
    attempt();
  }

  private void attempt() {
    if (done || driver.events.now() >= arrival.deadline()) {
      return;
    }
    attempts++;
    EntryInstance entry = driver.entryFor(arrival, failedEntries);
    int attempt = attempts;
    driver.events.after(
        driver.scenario.attemptTimeoutSeconds() * 1_000, () -> attemptTimedOut(attempt));
    if (!entry.unreachable) {
      driver.events.after(driver.profile.callerLatencyMilliseconds(), () -> arriveAt(entry));
    }
  }

  private void arriveAt(EntryInstance entry) {
    if (done) {
      return;
    }
    RetryHandling handling = driver.variant.retries();
    boolean inFlight = open.stream().anyMatch(each -> each.entry == entry);
    if (handling == RetryHandling.JOINED && inFlight) {
      return;
    }
    if (attempts == 1) {
      entry.callerRetries.firstAttempt();
    } else if (handling == RetryHandling.BUDGETED && !entry.callerRetries.mayRetry()) {
      driver.measurement.refusedAttempts++;
      retryLater();
      return;
    }
    Execution execution = new Execution(driver, this, entry);
    open.add(execution);
    execution.start();
  }

  private void attemptTimedOut(int attempt) {
    if (done || attempt != attempts || firstTokenNanoseconds != Long.MAX_VALUE) {
      return;
    }
    boolean entryUnreachable = driver.entryFor(arrival, failedEntries).unreachable;
    failedEntries += entryUnreachable ? 1 : 0;
    if (closesOnTimeout && driver.variant.retries() != RetryHandling.JOINED) {
      closeAll();
    }
    attempt();
  }

  void refused(Execution execution, Duration retryAfter) {
    open.remove(execution);
    if (!done && open.isEmpty()) {
      retryLater();
    }
  }

  void failed(Execution execution) {
    refused(execution, Duration.ZERO);
  }

  private void retryLater() {
    driver.events.after(PAUSE_MILLISECONDS, this::attempt);
  }

  void firstToken(Execution execution) {
    long received = driver.events.now() + driver.callerLatencyNanoseconds();
    firstTokenNanoseconds = Math.min(firstTokenNanoseconds, received);
  }

  void completed(Execution execution) {
    open.remove(execution);
    if (done) {
      return;
    }
    long received = driver.events.now() + driver.callerLatencyNanoseconds();
    boolean inTime =
        firstTokenNanoseconds <= arrival.firstTokenTarget()
            && received <= arrival.wholeAnswerTarget();
    driver.measurement.usefulNanoseconds += execution.busyNanoseconds();
    end(inTime);
  }

  private void deadline() {
    if (!done) {
      end(false);
    }
  }

  private void end(boolean inTime) {
    done = true;
    closeAll();
    driver.measurement.ended(arrival, inTime);
  }

  private void closeAll() {
    List.copyOf(open).forEach(Execution::cancel);
    open.clear();
  }
}
