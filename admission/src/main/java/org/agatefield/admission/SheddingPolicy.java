package org.agatefield.admission;

import java.util.Optional;

/** Decides which requests are refused. Confined to the thread that holds the queue. */
public interface SheddingPolicy {
  /** Returns a refusal if {@code request} should not wait. */
  Optional<Refusal> onArrival(QueuedRequest request, QueueView queue, long nowNanoseconds);

  /** Returns a refusal if {@code request} waited too long to be worth starting. */
  Optional<Refusal> beforeStart(QueuedRequest request, QueueView queue, long nowNanoseconds);
}
