package org.agatefield.fleet.soak;

import java.util.Optional;

/**
 * What a partner was told about one booking. For use by one thread, then read by another.
 *
 * <p>Invariant: {@code onlyNotRun} holds as long as every attempt was answered "not run".
 */
final class BookingRecord {
  final String key;
  private boolean onlyNotRun = true;
  private String answer;

  BookingRecord(String key) {
    this.key = key;
  }

  void perhapsRun() {
    onlyNotRun = false;
  }

  /** Takes a successful answer; returns the earlier one if it differs. */
  Optional<String> answered(String body) {
    onlyNotRun = false;
    if (answer != null && !answer.equals(body)) {
      return Optional.of(answer);
    }
    answer = body;
    return Optional.empty();
  }

  boolean onlyNotRun() {
    return onlyNotRun;
  }

  boolean isAnswered() {
    return answer != null;
  }
}
