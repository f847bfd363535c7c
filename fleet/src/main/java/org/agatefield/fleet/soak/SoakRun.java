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

/** One soak: load, failures by a seeded schedule, checks throughout and at the end. */
final class SoakRun {
  private static final int MODEL_CALLERS = 16;
  private static final int BOOKING_CALLERS = 6;
  private static final int OPERATORS_EVERY_SECONDS = 7;
  private static final int QUIET_SECONDS = 15;
  private static final long LAST_CALLS_SECONDS = 120;
  private static final long TICK_MILLISECONDS = 200;

  private final LocalFleet fleet;
  private final long seed;
  private final int seconds;
  private final SoakCounts counts = new SoakCounts();
  private final Violations violations = new Violations();
  private final AtomicBoolean loading = new AtomicBoolean(true);
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

  /** Runs the soak and returns the number of violations. */
  int run() {
    fleet.startAll();
    ExecutorService callers = Executors.newCachedThreadPool();
    startCallers(callers);
    ConfigurationOperators operators =
        new ConfigurationOperators(fleet, generator(3), counts, violations);
    try {
      drive(operators);
    } finally {
      loading.set(false);
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
              fleet, generator(100 + number), counts, violations, loading::get, "m" + number));
    }
    for (int number = 0; number < BOOKING_CALLERS; number++) {
      BookingCaller caller =
          new BookingCaller(
              fleet, generator(200 + number), counts, violations, loading::get, "b" + number);
      bookingCallers.add(caller);
      callers.execute(caller);
    }
  }

  private void drive(ConfigurationOperators operators) {
    List<PlannedFailure> schedule = FailureSchedule.plan(generator(1), seconds - QUIET_SECONDS);
    PriorityQueue<SoakEvent> events = new PriorityQueue<>();
    for (PlannedFailure failure : schedule) {
      events.add(new SoakEvent(failure.beginSecond(), () -> injector.begin(failure)));
      events.add(new SoakEvent(failure.endSecond(), () -> injector.end(failure)));
    }
    for (int second = 3; second < seconds; second += OPERATORS_EVERY_SECONDS) {
      events.add(new SoakEvent(second, operators::race));
      events.add(new SoakEvent(second + 3, checks::readGenerations));
    }
    long begin = System.nanoTime();
    while (elapsedSeconds(begin) < seconds) {
      while (!events.isEmpty() && events.peek().second() <= elapsedSeconds(begin)) {
        runEvent(events.poll());
      }
      pause();
    }
    events.forEach(this::runEvent);
  }

  private void runEvent(SoakEvent event) {
    try {
      event.action().run();
    } catch (FleetException exception) {
      violations.add("the soak itself failed: " + exception.getMessage());
    }
  }

  private static long elapsedSeconds(long begin) {
    return TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - begin);
  }

  private static void pause() {
    try {
      Thread.sleep(TICK_MILLISECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new FleetException("interrupted", exception);
    }
  }

  private void awaitCallers(ExecutorService callers) {
    callers.shutdown();
    try {
      if (!callers.awaitTermination(LAST_CALLS_SECONDS, TimeUnit.SECONDS)) {
        violations.add("callers still wait " + LAST_CALLS_SECONDS + " s after the load ended");
        callers.shutdownNow();
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private UniformRandomProvider generator(int stream) {
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
