package org.agatefield.admission;

import java.util.Optional;

/** Refuses no request; used as a baseline without admission limits. Immutable. */
public final class NoShedding implements SheddingPolicy {
  @Override
  public Optional<Refusal> onArrival(QueuedRequest request, QueueView queue, long nowNanoseconds) {
    return Optional.empty();
  }

  @Override
  public Optional<Refusal> beforeStart(
      QueuedRequest request, QueueView queue, long nowNanoseconds) {
    return Optional.empty();
  }
}
