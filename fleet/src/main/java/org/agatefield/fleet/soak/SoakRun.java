package org.agatefield.fleet.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.LocalFleet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs one soak test: generates load, injects failures from a seeded schedule, and checks the
 * guarantees during the run and at its end.
 */
final class SoakRun {
  private static final int MODEL_CALLERS = 16;
  private static final int BOOKING_CALLERS = 6;
  private static final int OPERATOR_INTERVAL_SECONDS = 7;
  private static final int RECOVERY_SECONDS = 15;
  private static final long CALLER_SHUTDOWN_TIMEOUT_SECONDS = 120;
  private static final long POLL_INTERVAL_MILLISECONDS = 200;

  private final LocalFleet fleet;
  private final long seed;
  private final int seconds;
  private final SoakCounts counts = new SoakCounts();
  private final Violations violations = new Violations();
  private final AtomicBoolean loadRunning = new AtomicBoolean(true);
  private final List<BookingCaller> bookingCallers = new ArrayList<>();
  private final SoakChecks checks;
  private final FailureInjector injector;

  SoakRun(LocalFleet fleet, long seed, int seconds) {
    this.fleet = fleet;
    this.seed = seed;
    this.seconds = seconds;
    this.checks = new SoakChecks(fleet, violations);
    this.injector = new FailureInjector(fleet, counts, checks);
  }

  /** Runs the soak test and returns the number of violations. */
  int run() {
    fleet.startAll();
    ExecutorService callers = Executors.newCachedThreadPool();
    startCallers(callers);
    ConfigurationOperators operators =
        new ConfigurationOperators(fleet, createRandom(3), counts, violations);
    try {
      runEvents(operators);
    } finally {
      loadRunning.set(false);
      awaitCallers(callers);
    }
    checks.checkHealed(operators.lastAccepted());
    List<BookingRecord> records = new ArrayList<>();
    bookingCallers.forEach(caller -> records.addAll(caller.records()));
    checks.checkBookings(records);
    printSummary();
    return violations.count();
  }

  private void startCallers(ExecutorService callers) {
    for (int number = 0; number < MODEL_CALLERS; number++) {
      callers.execute(
          new ModelCaller(
              fleet,
              createRandom(100 + number),
              counts,
              violations,
              loadRunning::get,
              "m" + number));
    }
    for (int number = 0; number < BOOKING_CALLERS; number++) {
      BookingCaller caller =
          new BookingCaller(
              fleet,
              createRandom(200 + number),
              counts,
              violations,
              loadRunning::get,
              "b" + number);
      bookingCallers.add(caller);
      callers.execute(caller);
    }
  }

  private void runEvents(ConfigurationOperators operators) {
    List<PlannedFailure> schedule =
        FailureSchedule.plan(createRandom(1), seconds - RECOVERY_SECONDS);
    PriorityQueue<SoakEvent> events = new PriorityQueue<>();
    for (PlannedFailure failure : schedule) {
      events.add(new SoakEvent(failure.beginSecond(), () -> injector.begin(failure)));
      events.add(new SoakEvent(failure.endSecond(), () -> injector.end(failure)));
    }
    for (int second = 3; second < seconds; second += OPERATOR_INTERVAL_SECONDS) {
      events.add(new SoakEvent(second, operators::race));
      events.add(new SoakEvent(second + 3, checks::readGenerations));
    }
    long startNanoseconds = System.nanoTime();
    while (elapsedSeconds(startNanoseconds) < seconds) {
      while (!events.isEmpty() && events.peek().second() <= elapsedSeconds(startNanoseconds)) {
        runEvent(events.poll());
      }
      sleepPollInterval();
    }
    events.forEach(this::runEvent);
  }

  private void runEvent(SoakEvent event) {
    try {
      event.action().run();
    } catch (FleetException exception) {
      violations.add("soak test error: " + exception.getMessage());
    }
  }

  private static long elapsedSeconds(long startNanoseconds) {
    return TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanoseconds);
  }

  private static void sleepPollInterval() {
    try {
      Thread.sleep(POLL_INTERVAL_MILLISECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }

  private void awaitCallers(ExecutorService callers) {
    callers.shutdown();
    try {
      if (!callers.awaitTermination(CALLER_SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        violations.add(
            "callers were still waiting "
                + CALLER_SHUTDOWN_TIMEOUT_SECONDS
                + " s after the load ended");
        callers.shutdownNow();
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private UniformRandomProvider createRandom(int stream) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000 + stream);
  }

  private void printSummary() {
    System.out.println(
        "whole answers %d, booking attempts %d, bookings answered %d, configurations accepted %d"
            .formatted(
                counts.wholeAnswers.sum(),
                counts.bookingAttempts.sum(),
                counts.bookingsAnswered.sum(),
                counts.configurations.sum()));
    System.out.println(
        "soak: %d requests, %d bookings, %d failures injected, %d violations"
            .formatted(
                counts.requests.sum(),
                counts.bookings.sum(),
                counts.failures.sum(),
                violations.count()));
  }
}
