package org.agatefield.daemon.forward;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.agatefield.admission.FleetSize;
import org.agatefield.admission.QuotaBucket;
import org.agatefield.admission.QuotaBuckets;
import org.agatefield.admission.QuotaTolerance;
import org.agatefield.admission.TokenRate;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.TokenQuota;

/**
 * The baseline: each instance grants an equal part of every quota, whatever it is asked for.
 *
 * <p>Needs no message, and holds in any cut. Refuses an account below its quota when its requests
 * are few or come to few instances. Confined to one event loop.
 */
final class EqualShareQuotaPolicy implements QuotaPolicy {
  private static final double EARNING_SECONDS = 30; // a usual request of a small account

  private final QuotaTolerance tolerance;
  private final FleetSize fleet;
  private final LongSupplier clock;
  private final UnaryOperator<TokenRate> kept;
  private final QuotaBuckets buckets = new QuotaBuckets();

  /**
   * Creates a policy.
   *
   * @param clock gives monotonic milliseconds
   */
  EqualShareQuotaPolicy(QuotaTolerance tolerance, FleetSize fleet, LongSupplier clock) {
    this(tolerance, fleet, clock, UnaryOperator.identity());
  }

  private EqualShareQuotaPolicy(
      QuotaTolerance tolerance,
      FleetSize fleet,
      LongSupplier clock,
      UnaryOperator<TokenRate> kept) {
    this.tolerance = tolerance;
    this.fleet = fleet;
    this.clock = clock;
    this.kept = kept;
  }

  /** Creates a policy for an instance that is cut off: its part is earned over a longer time. */
  static EqualShareQuotaPolicy whileCutOff(
      QuotaTolerance tolerance, FleetSize fleet, LongSupplier clock) {
    return new EqualShareQuotaPolicy(
        tolerance,
        fleet,
        clock,
        part -> new TokenRate(part.perSecond(), EARNING_SECONDS * part.perSecond()));
  }

  @Override
  public void decide(
      ClientAccount account, double tokens, long patienceMilliseconds, Consumer<Decision> told) {
    told.accept(decide(account, tokens));
  }

  Decision decide(ClientAccount account, double tokens) {
    long now = clock.getAsLong();
    QuotaBucket bucket = bucket(account, now);
    return bucket.tryTake(tokens, now)
        ? new Decision.Granted()
        : new Decision.Exhausted(bucket.millisecondsUntil(tokens, now));
  }

  private QuotaBucket bucket(ClientAccount account, long now) {
    TokenQuota quota = account.quota().orElseThrow();
    TokenRate whole = tolerance.rate(quota.perSecond(), quota.burst());
    TokenRate part = kept.apply(whole.scaled(1.0 / fleet.recentMaximum(now)));
    return buckets.bucket(account.name(), part, now);
  }

  @Override
  public void refund(ClientAccount account, double tokens) {
    long now = clock.getAsLong();
    bucket(account, now).refund(tokens, now);
  }

  /** Empties the bucket of an account, whose part is earned from the given moment on. */
  void begin(String account, long fromMilliseconds) {
    buckets.forget(account);
    buckets.bucket(account, new TokenRate(0, 0), fromMilliseconds);
  }
}
