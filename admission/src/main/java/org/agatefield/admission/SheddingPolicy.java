package org.agatefield.admission;

import java.util.Optional;

/** Decides which requests are refused. Not thread safe; guarded by the lock of the queue. */
public interface SheddingPolicy {
  /** Returns a refusal if {@code request} should not be queued. */
  Optional<Refusal> onArrival(QueuedRequest request, QueueView queue, long nowNanoseconds);

  /** Returns a refusal if {@code request} has waited too long to be started. */
  Optional<Refusal> beforeStart(QueuedRequest request, QueueView queue, long nowNanoseconds);
}
