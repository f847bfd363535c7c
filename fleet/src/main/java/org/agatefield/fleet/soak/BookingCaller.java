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
 * A partner that books and repeats each booking at once, at any instance, until it is answered or
 * tries run out; now and then it repeats one that was answered.
 */
final class BookingCaller implements Runnable {
  private static final int TRIES = 40;
  private static final int REPEAT_PERCENT = 20;
  private static final Duration CALL_LIMIT = Duration.ofSeconds(40);
  private static final int FINAL_UNKNOWN = 504;

  private final LocalFleet fleet;
  private final UniformRandomProvider random;
  private final EntryChoice entries;
  private final SoakCounts counts;
  private final Violations violations;
  private final BooleanSupplier goOn;
  private final String name;
  private final List<BookingRecord> records = new CopyOnWriteArrayList<>();

  BookingCaller(
      LocalFleet fleet,
      UniformRandomProvider random,
      SoakCounts counts,
      Violations violations,
      BooleanSupplier goOn,
      String name) {
    this.fleet = fleet;
    this.random = random;
    this.entries = new EntryChoice(fleet, random);
    this.counts = counts;
    this.violations = violations;
    this.goOn = goOn;
    this.name = name;
  }

  List<BookingRecord> records() {
    return records;
  }

  @Override
  public void run() {
    while (goOn.getAsBoolean()) {
      BookingRecord record = new BookingRecord(name + "-" + records.size());
      records.add(record);
      counts.bookings.increment();
      book(record);
      if (record.isAnswered() && random.nextInt(100) < REPEAT_PERCENT) {
        send(record);
      }
    }
  }

  private void book(BookingRecord record) {
    for (int attempt = 0; attempt < TRIES; attempt++) {
      if (send(record)) {
        return;
      }
    }
  }

  /** Sends the booking once; returns whether its outcome is final. */
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
              CALL_LIMIT);
    } catch (FleetException exception) {
      record.perhapsRun();
      return false;
    }
    return take(record, answer);
  }

  private boolean take(BookingRecord record, FleetHttp.Answer answer) {
    if (answer.status() < 300) {
      record
          .answered(answer.text())
          .ifPresent(
              earlier ->
                  violations.add(
                      "answers differ: key=%s %s and %s"
                          .formatted(record.key, earlier, answer.text())));
      counts.bookingsAnswered.increment();
      return true;
    }
    if (!answer.text().contains("\"run\":\"no\"")) {
      record.perhapsRun();
    }
    return answer.status() == FINAL_UNKNOWN;
  }
}
