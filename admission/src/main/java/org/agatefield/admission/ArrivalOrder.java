package org.agatefield.admission;

import java.util.Comparator;
import java.util.List;

/** Serves what came first, whoever sent it: the baseline. Immutable. */
public final class ArrivalOrder implements SelectionOrder {
  private static final Comparator<QueuedRequest> BY_ARRIVAL =
      Comparator.comparingLong(QueuedRequest::arrivalNanoseconds)
          .thenComparingLong(QueuedRequest::id);

  @Override
  public QueuedRequest choose(String resource, List<QueuedRequest> heads) {
    return heads.stream().min(BY_ARRIVAL).orElseThrow();
  }
}
