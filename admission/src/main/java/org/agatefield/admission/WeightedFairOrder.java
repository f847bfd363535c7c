package org.agatefield.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatefield.model.Priority;

/**
 * Serves callers at each runner by start-time fair queueing.
 *
 * <p>Invariant: callers that always have a waiting request that a runner can serve share that
 * runner in proportion to their weights, to within the cost of one request. A caller earns no
 * credit while it is idle. Not thread safe; guarded by the lock of the queue.
 */
public final class WeightedFairOrder implements SelectionOrder {
  private static final int MAXIMUM_CLOCKS = 16_384;

  private final Map<ClockKey, Clock> clocks = new HashMap<>();

  private record ClockKey(String resource, Priority priority) {}

  private static final class Clock {
    private final Map<String, Double> finishTags = new HashMap<>();
    private double virtualTime;

    private double startTag(QueuedRequest request) {
      return Math.max(virtualTime, finishTags.getOrDefault(request.caller(), 0.0));
    }

    private void serve(QueuedRequest request) {
      virtualTime = startTag(request);
      finishTags.put(request.caller(), virtualTime + request.cost() / request.weight());
    }
  }

  @Override
  public QueuedRequest choose(String resource, List<QueuedRequest> heads) {
    if (clocks.size() > MAXIMUM_CLOCKS) {
      clocks.clear();
    }
    ClockKey key = new ClockKey(resource, heads.get(0).priority());
    Clock clock = clocks.computeIfAbsent(key, ignored -> new Clock());
    QueuedRequest chosen = earliest(clock, heads);
    clock.serve(chosen);
    return chosen;
  }

  private static QueuedRequest earliest(Clock clock, List<QueuedRequest> heads) {
    QueuedRequest best = heads.get(0);
    double bestTag = clock.startTag(best);
    for (QueuedRequest head : heads.subList(1, heads.size())) {
      double tag = clock.startTag(head);
      if (tag < bestTag || tag == bestTag && precedes(head, best)) {
        best = head;
        bestTag = tag;
      }
    }
    return best;
  }

  private static boolean precedes(QueuedRequest left, QueuedRequest right) {
    if (left.deadlineNanoseconds() != right.deadlineNanoseconds()) {
      return left.deadlineNanoseconds() < right.deadlineNanoseconds();
    }
    return left.id() < right.id();
  }
}
