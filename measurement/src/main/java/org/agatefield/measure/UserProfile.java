package org.agatefield.measure;

import java.util.List;
import java.util.stream.IntStream;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.WeightStoreLimits;

/**
 * The fleet size and network latencies of one user. Immutable.
 *
 * @param name the user's name
 * @param runnerDomains the failure domain of each model runner
 * @param entryDomains the failure domain of each entry instance
 * @param models number of deployments
 * @param adapters number of adapters, distributed over the deployments
 * @param weightStore limits of the weight store
 * @param domainLatencyMilliseconds one-way latency between failure domains of a region
 * @param regionLatencyMilliseconds one-way latency between regions
 * @param callerLatencyMilliseconds one-way latency between callers and entry instances
 */
record UserProfile(
    String name,
    List<FailureDomain> runnerDomains,
    List<FailureDomain> entryDomains,
    int models,
    int adapters,
    WeightStoreLimits weightStore,
    double domainLatencyMilliseconds,
    double regionLatencyMilliseconds,
    double callerLatencyMilliseconds) {
  private static final int ENTRY_INSTANCES = 8;

  /** Returns the profile of a user by name. */
  static UserProfile named(String name) {
    return switch (name) {
      case "cooperative" -> cooperative();
      case "consortium" -> consortium();
      default ->
          throw new IllegalArgumentException(
              "user: '" + name + "' is not one of: cooperative, consortium");
    };
  }

  private static UserProfile cooperative() {
    List<FailureDomain> domains =
        List.of(
            new FailureDomain("kochi", "a"),
            new FailureDomain("kochi", "b"),
            new FailureDomain("kozhikode", "a"));
    return new UserProfile(
        "cooperative",
        spread(domains, 8),
        spread(domains, ENTRY_INSTANCES),
        20,
        60,
        new WeightStoreLimits(1.5, 6, 50),
        0.5,
        30,
        1);
  }

  private static UserProfile consortium() {
    List<FailureDomain> domains =
        List.of(
            new FailureDomain("west-midlands", "a"),
            new FailureDomain("west-midlands", "b"),
            new FailureDomain("east-midlands", "a"));
    return new UserProfile(
        "consortium",
        spread(domains, 6),
        spread(domains, ENTRY_INSTANCES),
        13,
        60,
        new WeightStoreLimits(1, 3, 25),
        1,
        30,
        3);
  }

  private static List<FailureDomain> spread(List<FailureDomain> domains, int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> domains.get(number % domains.size()))
        .toList();
  }
}
