package org.agatefield.fleet.soak;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the requests, bookings, failures and configuration changes of a soak test. Thread-safe.
 */
final class SoakCounts {
  final LongAdder requests = new LongAdder();
  final LongAdder wholeAnswers = new LongAdder();
  final LongAdder bookings = new LongAdder();
  final LongAdder bookingAttempts = new LongAdder();
  final LongAdder bookingsAnswered = new LongAdder();
  final LongAdder failures = new LongAdder();
  final LongAdder configurations = new LongAdder();
}
