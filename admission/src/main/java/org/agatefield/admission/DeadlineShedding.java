package org.agatefield.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.agatefield.model.ErrorKind;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Refuses at once what is not expected to finish before its deadline, and tells when to come back.
 *
 * <p>Invariant: nothing is started after its deadline. Confined to the thread that holds the queue.
 */
public final class DeadlineShedding implements SheddingPolicy {
  private static final long MINIMUM_RETRY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAXIMUM_RETRY_NANOSECONDS = TimeUnit.SECONDS.toNanos(60);
  private static final double JITTER_SHARE = 0.5;

  private final UniformRandomProvider random;

  /** Creates the policy; {@code random} spreads the times at which callers come back. */
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
