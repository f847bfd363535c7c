package org.agatefield.fleet.soak;

import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.agatefield.fleet.FleetException;
import org.agatefield.fleet.FleetHttp;
import org.agatefield.fleet.LocalFleet;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulates a partner that sends bookings. Retries each booking immediately, at a random instance,
 * until its outcome is final or the attempts are used up, and resends some successful bookings with
 * the same key.
 */
final class BookingCaller implements Runnable {
  private static final int MAX_ATTEMPTS = 40;
  private static final int RESEND_PERCENT = 20;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);
  private static final int OUTCOME_UNKNOWN_STATUS = 504;

  private final LocalFleet fleet;
  private final UniformRandomProvider random;
  private final EntryChoice entries;
  private final SoakCounts counts;
  private final Violations violations;
  private final BooleanSupplier running;
  private final String name;
  private final List<BookingRecord> records = new CopyOnWriteArrayList<>();

  BookingCaller(
      LocalFleet fleet,
      UniformRandomProvider random,
      SoakCounts counts,
      Violations violations,
      BooleanSupplier running,
      String name) {
    this.fleet = fleet;
    this.random = random;
    this.entries = new EntryChoice(fleet, random);
    this.counts = counts;
    this.violations = violations;
    this.running = running;
    this.name = name;
  }

  List<BookingRecord> records() {
    return records;
  }

  @Override
  public void run() {
    while (running.getAsBoolean()) {
      BookingRecord record = new BookingRecord(name + "-" + records.size());
      records.add(record);
      counts.bookings.increment();
      sendUntilFinal(record);
      if (record.isAnswered() && random.nextInt(100) < RESEND_PERCENT) {
        send(record);
      }
    }
  }

  private void sendUntilFinal(BookingRecord record) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (send(record)) {
        return;
      }
    }
  }

  /** Sends the booking once and returns whether its outcome is final. */
  private boolean send(BookingRecord record) {
    counts.bookingAttempts.increment();
    String service = fleet.plan().services().get(0).service();
    FleetHttp.Answer answer;
    try {
      answer =
          FleetHttp.await(
              fleet
                  .http()
                  .send(
                      HttpMethod.POST,
                      entries.anyDaemon(),
                      "/services/" + service + "/bookings",
                      Map.of("Content-Type", "application/json", "Idempotency-Key", record.key),
                      "{\"visit\":\"" + record.key + "\"}"),
              CALL_TIMEOUT);
    } catch (FleetException exception) {
      record.perhapsRun();
      return false;
    }
    return recordOutcome(record, answer);
  }

  private boolean recordOutcome(BookingRecord record, FleetHttp.Answer answer) {
    if (answer.status() < 300) {
      record
          .answered(answer.text())
          .ifPresent(
              earlier ->
                  violations.add(
                      "responses to the same booking differ: key=%s %s and %s"
                          .formatted(record.key, earlier, answer.text())));
      counts.bookingsAnswered.increment();
      return true;
    }
    if (!answer.text().contains("\"run\":\"no\"")) {
      record.perhapsRun();
    }
    return answer.status() == OUTCOME_UNKNOWN_STATUS;
  }
}
