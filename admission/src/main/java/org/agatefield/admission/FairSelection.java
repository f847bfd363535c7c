package org.agatefield.admission;

import java.util.List;

/**
 * Selects the work of the caller with the smallest share; of equal ones that which is due first.
 * Not thread safe; guarded by the lock of the queue.
 */
final class FairSelection {
  private final FairShares shares;

  FairSelection(FairShares shares) {
    this.shares = shares;
  }

  /**
   * Returns the work that the resource serves next and counts it as served.
   *
   * @param heads the first work of each caller, at least one
   */
  <W extends WaitingWork> W choose(String resource, List<W> heads) {
    W best = heads.get(0);
    double smallest = shares.share(resource, best);
    for (W head : heads.subList(1, heads.size())) {
      double share = shares.share(resource, head);
      if (share < smallest || share == smallest && precedes(head, best)) {
        best = head;
        smallest = share;
      }
    }
    shares.serve(resource, best);
    return best;
  }

  private static boolean precedes(WaitingWork left, WaitingWork right) {
    if (left.dueAt() != right.dueAt()) {
      return left.dueAt() < right.dueAt();
    }
    return left.id() < right.id();
  }
}
