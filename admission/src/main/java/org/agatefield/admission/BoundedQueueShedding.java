package org.agatefield.admission;

import java.time.Duration;
import java.util.Optional;
import org.agatefield.model.ErrorKind;

/** Refuses what finds a full queue: the usual baseline. Immutable. */
public final class BoundedQueueShedding implements SheddingPolicy {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int maximumWaiting;

  /**
   * Creates the policy.
   *
   * @param maximumWaiting most requests that wait for one target
   */
  public BoundedQueueShedding(int maximumWaiting) {
    this.maximumWaiting = maximumWaiting;
  }

  @Override
  public Optional<Refusal> onArrival(QueuedRequest request, QueueView queue, long nowNanoseconds) {
    if (queue.waitingFor(request) < maximumWaiting) {
      return Optional.empty();
    }
    return Optional.of(
        new Refusal(request, ErrorKind.OVERLOADED, RETRY_AFTER, "the queue is full"));
  }

  @Override
  public Optional<Refusal> beforeStart(
      QueuedRequest request, QueueView queue, long nowNanoseconds) {
    return Optional.empty();
  }
}
