package org.agatefield.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Maps models to their home instances, the entry instances that should receive their requests, by
 * rendezvous hashing.
 *
 * <p>Invariant: an instance that joins or leaves changes the homes only of the models that it is or
 * was a home of. Immutable; instances with the same view compute the same homes.
 */
public final class HomeInstances {
  private final double requestsPerSecondPerHome;
  private final int minimumHomes;

  /**
   * Creates the mapping.
   *
   * @param requestsPerSecondPerHome demand for which one home is added
   * @param minimumHomes number of homes of a model without demand, 1 or more
   */
  public HomeInstances(double requestsPerSecondPerHome, int minimumHomes) {
    this.requestsPerSecondPerHome = requestsPerSecondPerHome;
    this.minimumHomes = minimumHomes;
  }

  /** Returns the number of homes in a region of a model with the given demand. */
  public int homesFor(double requestsPerSecond) {
    double needed = Math.ceil(requestsPerSecond / requestsPerSecondPerHome);
    return (int) Math.max(minimumHomes, Math.min(needed, Integer.MAX_VALUE));
  }

  /**
   * Returns the homes of a model, best first.
   *
   * @param instances identifiers of the instances of one region that accept new requests
   */
  public List<String> homes(String model, Collection<String> instances, int count) {
    return ranked(model, instances).stream().limit(count).toList();
  }

  /** Returns all instances in the order in which they become homes of the model. */
  public List<String> ranked(String model, Collection<String> instances) {
    record Scored(String instance, long score) {}

    return instances.stream()
        .map(instance -> new Scored(instance, Hashing.hash(model + '\n' + instance)))
        .sorted(Comparator.comparingLong(Scored::score).reversed())
        .map(Scored::instance)
        .toList();
  }
}
