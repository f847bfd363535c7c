package org.agatefield.fleet.soak;

/**
 * A failure scheduled for a given time. Immutable.
 *
 * @param beginSecond seconds after the start of the load
 * @param lengthSeconds the duration
 * @param kind the kind of failure
 * @param target the index of the daemon, engine or runner, from 0; taken modulo their number
 */
record PlannedFailure(int beginSecond, int lengthSeconds, FailureKind kind, int target) {
  int endSecond() {
    return beginSecond + lengthSeconds;
  }
}
