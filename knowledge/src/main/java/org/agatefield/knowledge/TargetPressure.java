package org.agatefield.knowledge;

import java.util.List;
import java.util.Optional;

/**
 * How requests of one urgency for one target fared in the last seconds. Immutable.
 *
 * @param waiting requests that wait for room now
 * @param refusedPerSecond the recent rate of requests that were refused for lack of room
 * @param sentPerSecond the recent rate of requests that were sent to runners
 */
public record TargetPressure(int waiting, double refusedPerSecond, double sentPerSecond) {
  /** Nothing waits, and nothing was refused or sent. */
  public static final TargetPressure NONE = new TargetPressure(0, 0, 0);

  /** Knowledge by target and rank; what instances see adds up. Stateless and thread safe. */
  public static final KnowledgeKind<TargetPressure> KIND = new Kind();

  /** Returns the sum of two parts. */
  public TargetPressure plus(TargetPressure other) {
    return new TargetPressure(
        waiting + other.waiting,
        refusedPerSecond + other.refusedPerSecond,
        sentPerSecond + other.sentPerSecond);
  }

  private static final class Kind implements KnowledgeKind<TargetPressure> {
    // Two reports between failure domains may be lost.
    private static final long MAXIMUM_AGE_MILLISECONDS = 3_000;
    private static final int NUMBERS = 3;
    private static final double RATE_UNITS = 1_000;

    @Override
    public Terms terms() {
      return new Terms("target-pressure", Scope.FLEET, MAXIMUM_AGE_MILLISECONDS);
    }

    @Override
    public Observed<TargetPressure> combine(
        Observed<TargetPressure> first, Observed<TargetPressure> second) {
      return new Observed<>(
          first.value().plus(second.value()),
          Math.max(first.atMilliseconds(), second.atMilliseconds()));
    }

    @Override
    public List<Long> encode(TargetPressure value) {
      return List.of(
          (long) value.waiting(),
          Math.round(value.refusedPerSecond() * RATE_UNITS),
          Math.round(value.sentPerSecond() * RATE_UNITS));
    }

    @Override
    public Optional<TargetPressure> decode(List<Long> numbers) {
      if (!KnowledgeKind.areCounts(numbers, NUMBERS) || numbers.get(0) > Integer.MAX_VALUE) {
        return Optional.empty();
      }
      return Optional.of(
          new TargetPressure(
              numbers.get(0).intValue(), numbers.get(1) / RATE_UNITS, numbers.get(2) / RATE_UNITS));
    }
  }
}
