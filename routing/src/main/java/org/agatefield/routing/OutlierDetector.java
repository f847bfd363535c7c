package org.agatefield.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Ejects slow and failing upstreams, which then receive no new requests for a limited time.
 *
 * <p>Invariant (the floor): of any candidates, at least half, and never fewer than one, remain. Not
 * thread safe.
 */
public final class OutlierDetector {
  private static final int FAILURES_TO_EJECT = 3;
  private static final int MAXIMUM_DOUBLINGS = 5;
  private static final int MINIMUM_SAMPLES = 10;
  private static final double SMOOTHING = 0.2;
  private static final double SLOW_FACTOR = 4;
  private static final long MINIMUM_SLOW_NANOSECONDS = 500_000_000L;

  private final long baseEjectionNanoseconds;
  private final Map<String, Health> upstreams = new HashMap<>();

  private static final class Health {
    private int consecutiveFailures;
    private int ejections;
    private int samples;
    private double firstPartNanoseconds;
    private long ejectedUntil = Long.MIN_VALUE;
  }

  /**
   * Creates a detector; the first ejection of an upstream lasts {@code baseEjectionNanoseconds},
   * repeated ones longer.
   */
  public OutlierDetector(long baseEjectionNanoseconds) {
    this.baseEjectionNanoseconds = baseEjectionNanoseconds;
  }

  /** Records a complete answer. */
  public void succeeded(String upstream) {
    Health health = health(upstream);
    health.consecutiveFailures = 0;
    health.ejections = Math.max(0, health.ejections - 1);
  }

  /** Records a failed or unreachable attempt; returns whether this ejected the upstream. */
  public boolean failed(String upstream, long nowNanoseconds) {
    Health health = health(upstream);
    health.consecutiveFailures++;
    if (health.consecutiveFailures < FAILURES_TO_EJECT) {
      return false;
    }
    eject(health, nowNanoseconds);
    return true;
  }

  /** Records that connecting to an upstream failed, and ejects it at once. */
  public void unreachable(String upstream, long nowNanoseconds) {
    eject(health(upstream), nowNanoseconds);
  }

  /** Removes an upstream that has left or restarted. */
  public void forget(String upstream) {
    upstreams.remove(upstream);
  }

  /**
   * Records the time that an upstream took to send the first part of an answer; returns whether
   * this ejected the upstream because it is much slower than the median of the others.
   */
  public boolean firstPartReceived(String upstream, long nanoseconds, long nowNanoseconds) {
    Health health = health(upstream);
    health.samples++;
    double weight = Math.max(SMOOTHING, 1.0 / health.samples);
    health.firstPartNanoseconds += weight * (nanoseconds - health.firstPartNanoseconds);
    if (health.samples < MINIMUM_SAMPLES || health.samples % MINIMUM_SAMPLES != 0) {
      return false;
    }
    double median = medianOfOthers(upstream);
    double threshold = Math.max(MINIMUM_SLOW_NANOSECONDS, SLOW_FACTOR * median);
    if (median == 0 || health.firstPartNanoseconds < threshold) {
      return false;
    }
    eject(health, nowNanoseconds);
    return true;
  }

  /** Returns whether the upstream is ejected now. */
  public boolean isEjected(String upstream, long nowNanoseconds) {
    Health health = upstreams.get(upstream);
    return health != null && nowNanoseconds < health.ejectedUntil;
  }

  /**
   * Returns the candidates that may be used. If fewer than the floor remain, ejected ones are
   * added, those whose ejection ends earliest first.
   */
  public <T> List<T> admitted(
      List<T> candidates, Function<T, String> upstreamName, long nowNanoseconds) {
    List<T> admitted = new ArrayList<>(candidates.size());
    List<T> ejected = new ArrayList<>();
    for (T candidate : candidates) {
      boolean excluded = isEjected(upstreamName.apply(candidate), nowNanoseconds);
      (excluded ? ejected : admitted).add(candidate);
    }
    int floor = (candidates.size() + 1) / 2;
    if (admitted.size() < floor) {
      ejected.sort(
          (left, right) ->
              Long.compare(
                  health(upstreamName.apply(left)).ejectedUntil,
                  health(upstreamName.apply(right)).ejectedUntil));
      admitted.addAll(ejected.subList(0, floor - admitted.size()));
    }
    return admitted;
  }

  private void eject(Health health, long nowNanoseconds) {
    int doublings = Math.min(MAXIMUM_DOUBLINGS, health.ejections);
    health.ejectedUntil = nowNanoseconds + (baseEjectionNanoseconds << doublings);
    health.ejections = doublings + 1;
    health.consecutiveFailures = 0;
    health.samples = 0;
    health.firstPartNanoseconds = 0;
  }

  private double medianOfOthers(String upstream) {
    double[] others =
        upstreams.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(upstream))
            .filter(entry -> entry.getValue().samples >= MINIMUM_SAMPLES)
            .mapToDouble(entry -> entry.getValue().firstPartNanoseconds)
            .sorted()
            .toArray();
    return others.length == 0 ? 0 : others[others.length / 2];
  }

  private Health health(String upstream) {
    return upstreams.computeIfAbsent(upstream, ignored -> new Health());
  }
}
