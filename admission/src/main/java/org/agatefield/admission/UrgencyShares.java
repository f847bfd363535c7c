package org.agatefield.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * How much of the recent work of each service was of which rank, so that no rank starves.
 *
 * <p>Invariants: a rank that waits is owed {@link #GUARANTEED_SHARE} of the work of its service,
 * however many more urgent requests there are; at most {@link #MAXIMUM_SERVICES} services are kept.
 * Not thread safe.
 */
public final class UrgencyShares {
  /** The share of a service's work that each rank is owed while it has work waiting. */
  public static final double GUARANTEED_SHARE = 0.1;

  private static final int MAXIMUM_SERVICES = 1_024;
  private static final long TIME_CONSTANT_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

  private final Map<String, Map<Integer, DecayingRate>> given = new HashMap<>();

  /** Records that work of a rank was sent to a service. */
  public void given(String service, int rank, double cost, long nowMilliseconds) {
    if (given.size() >= MAXIMUM_SERVICES && !given.containsKey(service)) {
      return;
    }
    given
        .computeIfAbsent(service, ignored -> new HashMap<>())
        .computeIfAbsent(rank, ignored -> new DecayingRate(TIME_CONSTANT_NANOSECONDS))
        .add(cost, TimeUnit.MILLISECONDS.toNanos(nowMilliseconds));
  }

  /** Returns whether a rank has got less than it is owed; false while the service has no work. */
  public boolean isOwed(String service, int rank, long nowMilliseconds) {
    return hasTooLittle(rank, recent(service, nowMilliseconds));
  }

  /** Returns the recent work of a service by rank. */
  Map<Integer, Double> recent(String service, long nowMilliseconds) {
    long now = TimeUnit.MILLISECONDS.toNanos(nowMilliseconds);
    Map<Integer, Double> work = new HashMap<>();
    given
        .getOrDefault(service, Map.of())
        .forEach((rank, rate) -> work.put(rank, rate.perSecond(now)));
    return work;
  }

  /** Returns whether a rank has less than its guaranteed share of work by rank. */
  static boolean hasTooLittle(int rank, Map<Integer, Double> work) {
    double total = work.values().stream().mapToDouble(Double::doubleValue).sum();
    return work.getOrDefault(rank, 0.0) < GUARANTEED_SHARE * total;
  }
}
