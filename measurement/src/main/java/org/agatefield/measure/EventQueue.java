package org.agatefield.measure;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Runs actions at simulated times, and in order of submission at the same time. Not thread-safe.
 */
final class EventQueue {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long sequence;

  private record Event(long nanoseconds, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(nanoseconds, other.nanoseconds);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  long now() {
    return now;
  }

  void at(long nanoseconds, Runnable action) {
    sequence++;
    events.add(new Event(Math.max(now, nanoseconds), sequence, action));
  }

  void after(double milliseconds, Runnable action) {
    at(now + (long) (milliseconds * TimeUnit.MILLISECONDS.toNanos(1)), action);
  }

  void runUntil(long nanoseconds) {
    while (!events.isEmpty() && events.peek().nanoseconds() <= nanoseconds) {
      Event event = events.poll();
      now = Math.max(now, event.nanoseconds());
      event.action().run();
    }
    now = nanoseconds;
  }
}
