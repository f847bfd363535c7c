package org.agatefield.fleet.soak;

import java.util.Optional;

/**
 * Records the responses that a partner received for one booking. Not thread-safe: written by one
 * thread, then read by another.
 *
 * <p>Invariant: {@code onlyNotRun} is true as long as every response stated that the call was not
 * run.
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

  /** Records a successful response; returns the previous one if it differs. */
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
