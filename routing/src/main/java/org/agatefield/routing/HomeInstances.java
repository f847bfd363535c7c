package org.agatefield.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Maps models onto the entry instances that should see their requests, by rendezvous hashing.
 *
 * <p>Invariant: an instance that comes or goes changes the homes only of the models that it is or
 * was a home of. Immutable; every instance with the same view gives the same answer.
 */
public final class HomeInstances {
  private final double requestsPerSecondPerHome;
  private final int minimumHomes;

  /**
   * Creates the mapping.
   *
   * @param requestsPerSecondPerHome demand that adds one home
   * @param minimumHomes homes of a model without demand, 1 or more
   */
  public HomeInstances(double requestsPerSecondPerHome, int minimumHomes) {
    this.requestsPerSecondPerHome = requestsPerSecondPerHome;
    this.minimumHomes = minimumHomes;
  }

  /** Returns how many homes a model with this demand has in a region. */
  public int homesFor(double requestsPerSecond) {
    double needed = Math.ceil(requestsPerSecond / requestsPerSecondPerHome);
    return (int) Math.max(minimumHomes, Math.min(needed, Integer.MAX_VALUE));
  }

  /**
   * Returns the homes of a model, best first.
   *
   * @param instances identifiers of the instances of one region that take new work
   */
  public List<String> homes(String model, Collection<String> instances, int count) {
    return ranked(model, instances).stream().limit(count).toList();
  }

  /** Returns all instances, those first that are homes of the model. */
  public List<String> ranked(String model, Collection<String> instances) {
    record Scored(String instance, long score) {}

    return instances.stream()
        .map(instance -> new Scored(instance, Hashing.hash(model + '\n' + instance)))
        .sorted(Comparator.comparingLong(Scored::score).reversed())
        .map(Scored::instance)
        .toList();
  }
}
