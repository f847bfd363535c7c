package org.agatefield.fleet.soak;

/**
 * Something that a soak does at a time. Immutable; ordered by time.
 *
 * @param second seconds after the start of the load
 * @param action what to do
 */
record SoakEvent(int second, Runnable action) implements Comparable<SoakEvent> {
  @Override
  public int compareTo(SoakEvent other) {
    return Integer.compare(second, other.second);
  }
}
