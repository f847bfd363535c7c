package org.agatefield.routing;

import java.util.List;
import java.util.Optional;
import org.agatefield.knowledge.KnowledgeKind;
import org.agatefield.knowledge.Observed;

/**
 * What the machine of an entry instance can do and how far the instance is behind. Immutable.
 *
 * @param milliprocessors the capacity in thousandths of an ordinary processor
 * @param delayMilliseconds how late work starts on it, smoothed
 */
public record InstanceLoad(long milliprocessors, long delayMilliseconds) {
  /** Knowledge by instance identifier within a failure domain. Stateless and thread safe. */
  public static final KnowledgeKind<InstanceLoad> KIND = new Kind();

  private static final double MILLISECONDS_THAT_HALVE_CAPACITY = 40;
  private static final long MAXIMUM_MILLIPROCESSORS = 1_024_000;

  /** The longest delay that is told to others. */
  public static final long MAXIMUM_DELAY_MILLISECONDS = 60_000;

  /** Returns the capacity that is left for more callers, in thousandths of a processor. */
  public double usableMilliprocessors() {
    return milliprocessors / (1 + delayMilliseconds / MILLISECONDS_THAT_HALVE_CAPACITY);
  }

  private static final class Kind implements KnowledgeKind<InstanceLoad> {
    private static final long MAXIMUM_AGE_MILLISECONDS = 6_000; // Members vanish in less time.
    private static final int NUMBERS = 2;

    @Override
    public Terms terms() {
      return new Terms("instance-load", Scope.FAILURE_DOMAIN, MAXIMUM_AGE_MILLISECONDS);
    }

    @Override
    public Observed<InstanceLoad> combine(
        Observed<InstanceLoad> first, Observed<InstanceLoad> second) {
      return KnowledgeKind.newest(first, second);
    }

    @Override
    public List<Long> encode(InstanceLoad value) {
      return List.of(value.milliprocessors(), value.delayMilliseconds());
    }

    @Override
    public Optional<InstanceLoad> decode(List<Long> numbers) {
      if (!KnowledgeKind.areCounts(numbers, NUMBERS)
          || numbers.get(0) == 0
          || numbers.get(0) > MAXIMUM_MILLIPROCESSORS
          || numbers.get(1) > MAXIMUM_DELAY_MILLISECONDS) {
        return Optional.empty();
      }
      return Optional.of(new InstanceLoad(numbers.get(0), numbers.get(1)));
    }
  }
}
