package org.agatefield.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides for which of its models a runner that limits the rate of requests still counts as a
 * replica.
 *
 * <p>Models that other runners hold are served there. Of the others, the runner serves those that
 * are requested least, as many as its limit allows; busier ones need a replica elsewhere. Without
 * this choice either a busy model would wait for the permits of its only runner, or every model of
 * the runner would be loaded again, which evicts further models from the other runners. Stateless.
 */
public final class LimitedReplicas {
  // The rest of the permits is used for orders and for retries.
  private static final double USABLE_LIMIT_SHARE = 0.7;

  private LimitedReplicas() {}

  /**
   * Returns the models for which the runner counts as a replica.
   *
   * @param held the models that the runner holds
   * @param heldElsewhere the models that runners without a limit hold
   * @param requestsPerSecond the runner's limit
   */
  public static Set<String> countedModels(
      Set<String> held,
      Set<String> heldElsewhere,
      double requestsPerSecond,
      Map<String, DemandTracker.Demand> demands) {
    if (fits(held, requestsPerSecond, demands)) {
      return Set.copyOf(held);
    }
    double usable = USABLE_LIMIT_SHARE * requestsPerSecond;
    List<String> leastRequestedFirst = new ArrayList<>(held);
    leastRequestedFirst.removeIf(heldElsewhere::contains);
    leastRequestedFirst.sort(Comparator.comparingDouble(model -> rate(model, demands)));
    Set<String> counted = new HashSet<>();
    for (String model : leastRequestedFirst) {
      usable -= rate(model, demands);
      if (usable < 0) {
        break;
      }
      counted.add(model);
    }
    return counted;
  }

  /** Returns whether the requests for the models fit a runner's limit. */
  static boolean fits(
      Set<String> models, double requestsPerSecond, Map<String, DemandTracker.Demand> demands) {
    double demand = models.stream().mapToDouble(model -> rate(model, demands)).sum();
    return demand <= USABLE_LIMIT_SHARE * requestsPerSecond;
  }

  private static double rate(String model, Map<String, DemandTracker.Demand> demands) {
    return demands.getOrDefault(model, DemandTracker.Demand.NONE).requestsPerSecond();
  }
}
