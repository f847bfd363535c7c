package org.agatefield.admission;

import java.time.Duration;
import java.util.Optional;
import org.agatefield.model.ErrorKind;

/**
 * Refuses requests that arrive while the queue of their target is full; used as a baseline.
 * Immutable.
 */
public final class BoundedQueueShedding implements SheddingPolicy {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int maximumWaiting;

  /**
   * Creates the policy.
   *
   * @param maximumWaiting the maximum number of requests waiting for one target
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
