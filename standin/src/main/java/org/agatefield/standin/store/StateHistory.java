package org.agatefield.standin.store;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Retains earlier states of one kind to serve stale reads.
 *
 * <p>Invariant: states are ordered by time. All state is guarded by the object's lock.
 */
final class StateHistory {
  private static final int RETAINED_STATES = 1_000;

  private final Deque<State> states = new ArrayDeque<>();

  private record State(long atMilliseconds, ObjectTable.Result list) {}

  /** Adds the state at a point in time. */
  synchronized void add(long atMilliseconds, ObjectTable.Result list) {
    states.addLast(new State(atMilliseconds, list));
    if (states.size() > RETAINED_STATES) {
      states.removeFirst();
    }
  }

  /** Returns the last state at or before a point in time, or the oldest retained state. */
  synchronized ObjectTable.Result at(long milliseconds, ObjectTable.Result fallback) {
    ObjectTable.Result found = states.isEmpty() ? fallback : states.peekFirst().list();
    for (State state : states) {
      if (state.atMilliseconds() <= milliseconds) {
        found = state.list();
      }
    }
    return found;
  }
}
