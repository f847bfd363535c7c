package org.agatefield.fleet.soak;

/**
 * A failure at a planned time. Immutable.
 *
 * @param beginSecond seconds after the start of the load
 * @param lengthSeconds how long it lasts
 * @param kind what fails
 * @param target which daemon, engine or runner, counted from 0; taken modulo their number
 */
record PlannedFailure(int beginSecond, int lengthSeconds, FailureKind kind, int target) {
  int endSecond() {
    return beginSecond + lengthSeconds;
  }
}
