package org.agatefield.cost;

import java.util.List;
import java.util.Optional;
import org.agatefield.knowledge.KnowledgeKind;
import org.agatefield.knowledge.Observed;

/**
 * Rates that instances learn together: their observations are added by weight.
 *
 * <p>Invariant: a decoded value lies within the kind's range and has a bounded weight, whatever was
 * sent. Stateless and thread safe.
 */
public final class RateKind implements KnowledgeKind<RateSum> {
  /** Relative speeds by runner identifier; 1 is the speed of an average runner. */
  public static final RateKind RUNNER_SPEED = new RateKind("runner-speed", 1.0 / 6, 6);

  /** Milliseconds per prompt token by model, on a runner of speed 1. */
  public static final RateKind MODEL_PACE = new RateKind("model-pace", 0.002, 2);

  private static final long MAXIMUM_AGE_MILLISECONDS = 90_000;
  private static final double WIRE_SCALE = 1_000;
  // What all instances of a large failure domain can have observed within the maximum age.
  private static final double MAXIMUM_WEIGHT = 10_000;
  private static final int NUMBERS = 2;

  private final String name;
  private final double minimumLogarithm;
  private final double maximumLogarithm;

  private RateKind(String name, double minimum, double maximum) {
    this.name = name;
    this.minimumLogarithm = Math.log(minimum);
    this.maximumLogarithm = Math.log(maximum);
  }

  /** Returns a logarithm limited to the range of this kind. */
  double limited(double logarithm) {
    return Math.max(minimumLogarithm, Math.min(maximumLogarithm, logarithm));
  }

  @Override
  public Terms terms() {
    return new Terms(name, Scope.FLEET, MAXIMUM_AGE_MILLISECONDS);
  }

  @Override
  public Observed<RateSum> combine(Observed<RateSum> first, Observed<RateSum> second) {
    return new Observed<>(
        first.value().plus(second.value()),
        Math.max(first.atMilliseconds(), second.atMilliseconds()));
  }

  @Override
  public List<Long> encode(RateSum value) {
    return List.of(
        Math.round(value.weight() * WIRE_SCALE), Math.round(value.meanLogarithm() * WIRE_SCALE));
  }

  @Override
  public Optional<RateSum> decode(List<Long> numbers) {
    if (numbers.size() < NUMBERS || numbers.get(0) <= 0) {
      return Optional.empty();
    }
    double weight = Math.min(MAXIMUM_WEIGHT, numbers.get(0) / WIRE_SCALE);
    return Optional.of(RateSum.ofMean(weight, limited(numbers.get(1) / WIRE_SCALE)));
  }
}
