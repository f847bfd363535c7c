package org.agatefield.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.ErrorKind;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Refuses requests that are not expected to finish before their deadline and computes when to
 * retry.
 *
 * <p>Invariant: no request is started after its deadline. Not thread safe; guarded by the lock of
 * the queue.
 */
public final class DeadlineShedding implements SheddingPolicy {
  private static final long MINIMUM_RETRY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAXIMUM_RETRY_NANOSECONDS = TimeUnit.SECONDS.toNanos(60);
  private static final double JITTER_SHARE = 0.5;

  private final UniformRandomProvider random;

  /** Creates the policy; {@code random} adds jitter to the retry delays. */
  public DeadlineShedding(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public Optional<Refusal> onArrival(QueuedRequest request, QueueView queue, long nowNanoseconds) {
    long remaining = request.deadlineNanoseconds() - nowNanoseconds;
    long wait = queue.expectedWaitNanoseconds(request);
    long service = queue.expectedServiceNanoseconds(request);
    if (remaining > 0 && wait + service <= remaining) {
      return Optional.empty();
    }
    return Optional.of(refusal(request, wait, service, remaining));
  }

  @Override
  public Optional<Refusal> beforeStart(
      QueuedRequest request, QueueView queue, long nowNanoseconds) {
    long remaining = request.deadlineNanoseconds() - nowNanoseconds;
    long service = queue.expectedServiceNanoseconds(request);
    if (remaining > 0 && service <= remaining) {
      return Optional.empty();
    }
    long wait = queue.expectedWaitNanoseconds(request);
    return Optional.of(refusal(request, wait, service, remaining));
  }

  private Refusal refusal(QueuedRequest request, long wait, long service, long remaining) {
    String reason =
        "needs "
            + TimeUnit.NANOSECONDS.toMillis(wait)
            + " ms in the queue and "
            + TimeUnit.NANOSECONDS.toMillis(service)
            + " ms to run; "
            + TimeUnit.NANOSECONDS.toMillis(remaining)
            + " ms remain";
    return new Refusal(request, ErrorKind.DEADLINE_UNREACHABLE, retryAfter(wait), reason);
  }

  private Duration retryAfter(long waitNanoseconds) {
    long base =
        Math.max(MINIMUM_RETRY_NANOSECONDS, Math.min(MAXIMUM_RETRY_NANOSECONDS, waitNanoseconds));
    return Duration.ofNanos((long) (base * (1 + JITTER_SHARE * random.nextDouble())));
  }
}
