package org.agatefield.admission;

import java.util.Comparator;
import java.util.List;

/** Serves requests in order of arrival, regardless of the caller; used as a baseline. Immutable. */
public final class ArrivalOrder implements SelectionOrder {
  private static final Comparator<QueuedRequest> BY_ARRIVAL =
      Comparator.comparingLong(QueuedRequest::arrivalNanoseconds)
          .thenComparingLong(QueuedRequest::id);

  @Override
  public QueuedRequest choose(String resource, List<QueuedRequest> heads) {
    return heads.stream().min(BY_ARRIVAL).orElseThrow();
  }
}
