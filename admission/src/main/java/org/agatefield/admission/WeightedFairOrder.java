package org.agatefield.admission;

import java.util.List;

/**
 * Serves callers at each runner by start-time fair queueing.
 *
 * <p>Invariant: callers that always have a waiting request that a runner can serve share that
 * runner in proportion to their weights, to within the cost of one request. A caller earns no
 * credit while it is idle. Not thread safe; guarded by the lock of the queue.
 */
public final class WeightedFairOrder implements SelectionOrder {
  private final FairSelection selection = new FairSelection(new VirtualClocks());

  @Override
  public QueuedRequest choose(String resource, List<QueuedRequest> heads) {
    return selection.choose(resource, heads);
  }
}
