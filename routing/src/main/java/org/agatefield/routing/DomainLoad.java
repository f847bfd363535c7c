package org.agatefield.routing;

import java.util.List;
import java.util.Optional;
import org.agatefield.knowledge.KnowledgeKind;
import org.agatefield.knowledge.Observed;

/**
 * The capacity of the entry instances of a failure domain, summed over them. Immutable.
 *
 * @param milliprocessors the capacity in thousandths of an ordinary processor
 * @param usableMilliprocessors the part of it that is left for more callers
 */
public record DomainLoad(long milliprocessors, long usableMilliprocessors) {
  /** Knowledge by the failure domain's name; sources add up. Stateless and thread safe. */
  public static final KnowledgeKind<DomainLoad> KIND = new Kind();

  /** Returns what one instance adds to its domain. */
  public static DomainLoad of(InstanceLoad load) {
    return new DomainLoad(load.milliprocessors(), Math.round(load.usableMilliprocessors()));
  }

  /** Returns the part of the capacity that is left, from 0 to 1. */
  double usableShare() {
    return Math.min(1, (double) usableMilliprocessors / Math.max(1, milliprocessors));
  }

  private static final class Kind implements KnowledgeKind<DomainLoad> {
    private static final long MAXIMUM_AGE_MILLISECONDS = 6_000;
    private static final long MAXIMUM_MILLIPROCESSORS = 1_000_000_000;
    private static final int NUMBERS = 2;

    @Override
    public Terms terms() {
      return new Terms("domain-load", Scope.FLEET, MAXIMUM_AGE_MILLISECONDS);
    }

    @Override
    public Observed<DomainLoad> combine(Observed<DomainLoad> first, Observed<DomainLoad> second) {
      return new Observed<>(
          new DomainLoad(
              first.value().milliprocessors() + second.value().milliprocessors(),
              first.value().usableMilliprocessors() + second.value().usableMilliprocessors()),
          Math.min(first.atMilliseconds(), second.atMilliseconds()));
    }

    @Override
    public List<Long> encode(DomainLoad value) {
      return List.of(value.milliprocessors(), value.usableMilliprocessors());
    }

    @Override
    public Optional<DomainLoad> decode(List<Long> numbers) {
      boolean valid =
          KnowledgeKind.areCounts(numbers, NUMBERS)
              && numbers.get(0) <= MAXIMUM_MILLIPROCESSORS
              && numbers.get(1) <= MAXIMUM_MILLIPROCESSORS;
      return valid ? Optional.of(new DomainLoad(numbers.get(0), numbers.get(1))) : Optional.empty();
    }
  }
}
