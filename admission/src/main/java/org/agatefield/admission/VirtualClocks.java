package org.agatefield.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Shares by start-time fair queueing, with one clock for each resource and rank.
 *
 * <p>Invariants: a caller earns no credit while it is idle; at most {@link #MAXIMUM_CLOCKS} clocks
 * are kept. Not thread safe; guarded by the lock of the queue.
 */
final class VirtualClocks implements FairShares {
  private static final int MAXIMUM_CLOCKS = 16_384;

  private final Map<ClockKey, Clock> clocks = new HashMap<>();

  private record ClockKey(String resource, int rank) {}

  private static final class Clock {
    private final Map<String, Double> finishTags = new HashMap<>();
    private double virtualTime;

    private double startTag(WaitingWork work) {
      return Math.max(virtualTime, finishTags.getOrDefault(work.caller(), 0.0));
    }
  }

  @Override
  public double share(String resource, WaitingWork work) {
    return clock(resource, work).startTag(work);
  }

  @Override
  public void serve(String resource, WaitingWork work) {
    Clock clock = clock(resource, work);
    clock.virtualTime = clock.startTag(work);
    clock.finishTags.put(work.caller(), clock.virtualTime + work.cost() / work.weight());
  }

  private Clock clock(String resource, WaitingWork work) {
    if (clocks.size() > MAXIMUM_CLOCKS) {
      clocks.clear();
    }
    return clocks.computeIfAbsent(new ClockKey(resource, work.rank()), ignored -> new Clock());
  }
}
