package org.agatefield.fleet.soak;

/**
 * An action scheduled for a given time of a soak test. Immutable; ordered by time.
 *
 * @param second seconds after the start of the load
 * @param action the action to run
 */
record SoakEvent(int second, Runnable action) implements Comparable<SoakEvent> {
  @Override
  public int compareTo(SoakEvent other) {
    return Integer.compare(second, other.second);
  }
}
