package org.agatefield.standin.store;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps earlier states of one kind, for reads that lag.
 *
 * <p>Invariant: states are in the order of their times. All state is guarded by the object's lock.
 */
final class LaggingReads {
  private static final int KEPT_STATES = 1_000;

  private final Deque<State> states = new ArrayDeque<>();

  private record State(long atMilliseconds, ObjectTable.Result list) {}

  /** Adds the state of a moment. */
  synchronized void add(long atMilliseconds, ObjectTable.Result list) {
    states.addLast(new State(atMilliseconds, list));
    if (states.size() > KEPT_STATES) {
      states.removeFirst();
    }
  }

  /** Returns the last state that is at least as old as that moment, or the oldest. */
  synchronized ObjectTable.Result at(long milliseconds, ObjectTable.Result otherwise) {
    ObjectTable.Result found = states.isEmpty() ? otherwise : states.peekFirst().list();
    for (State state : states) {
      if (state.atMilliseconds() <= milliseconds) {
        found = state.list();
      }
    }
    return found;
  }
}
