package org.agatefield.daemon.forward;

import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.agatefield.admission.FleetSize;
import org.agatefield.admission.QuotaBucket;
import org.agatefield.admission.QuotaBuckets;
import org.agatefield.admission.TokenRate;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.peer.PeerMessage;

/**
 * Grants the permits for limited runners of which this instance is the holder.
 *
 * <p>Invariant: a runner's bucket starts empty, and its rate is the limit times the share of the
 * recent fleet that this instance sees, so that neither a takeover nor a network partition exceeds
 * the limit for long. Confined to one event loop.
 */
final class PermitIssuer {
  // A bucket has to exceed one permit by more than its rounding tolerance to grant it.
  private static final double BURST_PERMITS = 1.25;
  private static final double BURST_SECONDS = 0.25;
  // A runner that accepts nothing is still asked now and then whether its limit has ended.
  private static final double MINIMUM_PER_SECOND = 0.1;

  private final LongSupplier clock;
  private final FleetSize fleetSize;
  private final RunnerLimits limits;
  private final QuotaBuckets buckets = new QuotaBuckets(); // By runner identifier.

  /**
   * Creates an issuer that has granted nothing.
   *
   * @param clock returns monotonic milliseconds
   */
  PermitIssuer(LongSupplier clock, FleetSize fleetSize, RunnerLimits limits) {
    this.clock = clock;
    this.fleetSize = fleetSize;
    this.limits = limits;
  }

  /** Returns the rate at which permits for a limit in requests per second are granted. */
  static double permitsPerSecond(double limit) {
    return Math.max(MINIMUM_PER_SECOND, limit);
  }

  /**
   * Grants up to {@code wanted} permits.
   *
   * @param used calls that were sent without a permit and are charged to the limit
   * @param visibleInstances the number of responsive instances including this one
   */
  PeerMessage.PermitAnswer grant(RunnerEntry runner, int wanted, int used, int visibleInstances) {
    long now = clock.getAsLong();
    OptionalDouble limit = limits.requestsPerSecond(runner);
    if (limit.isEmpty()) {
      return new PeerMessage.PermitAnswer(wanted, 0, true);
    }
    double visibleShare = (double) visibleInstances / fleetSize.recentMaximum(now);
    double perSecond = permitsPerSecond(limit.getAsDouble()) * Math.min(1, visibleShare);
    TokenRate rate = new TokenRate(perSecond, BURST_PERMITS + BURST_SECONDS * perSecond);
    QuotaBucket bucket = buckets.bucket(runner.id(), rate, now);
    bucket.charge(used, now);
    int granted = 0;
    while (granted < wanted && bucket.tryTake(1, now)) {
      granted++;
    }
    long wait = granted < wanted ? bucket.millisecondsUntil(1, now) : 0;
    return new PeerMessage.PermitAnswer(granted, wait, true);
  }

  /** Removes the buckets that were not used recently, unless {@code isHeld} accepts the runner. */
  void removeUnused(Predicate<String> isHeld) {
    buckets.removeUnused(isHeld, clock.getAsLong());
  }

  /** Removes the bucket of a runner whose entry was removed. */
  void runnerGone(String runner) {
    buckets.forget(runner);
  }
}
