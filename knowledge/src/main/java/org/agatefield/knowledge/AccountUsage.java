package org.agatefield.knowledge;

import java.util.List;
import java.util.Optional;

/**
 * The work that a client account was given in the last seconds, older work counting less.
 * Immutable.
 *
 * @param cost the decayed cost at the time of the observation
 */
public record AccountUsage(double cost) {
  /**
   * Knowledge by account name; what instances have given adds up. Stateless and thread safe.
   *
   * @param timeConstantMilliseconds the time in which the weight of past work falls by a factor of
   *     e, the same for all instances
   */
  public record Kind(long timeConstantMilliseconds) implements KnowledgeKind<AccountUsage> {
    @Override
    public Terms terms() {
      return new Terms("account-usage", Scope.FLEET, timeConstantMilliseconds);
    }

    @Override
    public Observed<AccountUsage> combine(
        Observed<AccountUsage> first, Observed<AccountUsage> second) {
      long at = Math.max(first.atMilliseconds(), second.atMilliseconds());
      return new Observed<>(new AccountUsage(costAt(first, at) + costAt(second, at)), at);
    }

    /** Returns the cost that an observation stands for at a later time. */
    public double costAt(Observed<AccountUsage> observed, long atMilliseconds) {
      double age = observed.ageMilliseconds(atMilliseconds);
      return observed.value().cost() * Math.exp(-age / timeConstantMilliseconds);
    }

    @Override
    public List<Long> encode(AccountUsage value) {
      return List.of(Math.round(value.cost()));
    }

    @Override
    public Optional<AccountUsage> decode(List<Long> numbers) {
      if (numbers.isEmpty() || numbers.get(0) < 0) {
        return Optional.empty();
      }
      return Optional.of(new AccountUsage(numbers.get(0)));
    }
  }
}
