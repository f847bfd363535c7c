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
 * Grants an equal share of every quota on each instance, independent of demand; the baseline
 * policy.
 *
 * <p>Needs no messages and stays within the quota during any network partition. Refuses accounts
 * below their quota if they send few requests or send them to few instances. Confined to one event
 * loop.
 */
final class EqualShareQuotaPolicy implements QuotaPolicy {
  // The time in which a share earns the tokens of a typical request of a small account.
  private static final double REFILL_SECONDS = 30;

  private final QuotaTolerance tolerance;
  private final FleetSize fleet;
  private final LongSupplier clock;
  private final UnaryOperator<TokenRate> adjustment;
  private final QuotaBuckets buckets = new QuotaBuckets();

  /**
   * Creates a policy.
   *
   * @param clock returns monotonic milliseconds
   */
  EqualShareQuotaPolicy(QuotaTolerance tolerance, FleetSize fleet, LongSupplier clock) {
    this(tolerance, fleet, clock, UnaryOperator.identity());
  }

  private EqualShareQuotaPolicy(
      QuotaTolerance tolerance,
      FleetSize fleet,
      LongSupplier clock,
      UnaryOperator<TokenRate> adjustment) {
    this.tolerance = tolerance;
    this.fleet = fleet;
    this.clock = clock;
    this.adjustment = adjustment;
  }

  /**
   * Creates a policy for an isolated instance, whose bucket accumulates its share over a longer
   * time.
   */
  static EqualShareQuotaPolicy whileIsolated(
      QuotaTolerance tolerance, FleetSize fleet, LongSupplier clock) {
    return new EqualShareQuotaPolicy(
        tolerance,
        fleet,
        clock,
        share -> new TokenRate(share.perSecond(), REFILL_SECONDS * share.perSecond()));
  }

  @Override
  public void decide(
      ClientAccount account,
      double tokens,
      long timeoutMilliseconds,
      Consumer<Decision> onDecision) {
    onDecision.accept(decide(account, tokens));
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
    TokenRate total = tolerance.rate(quota.perSecond(), quota.burst());
    TokenRate share = adjustment.apply(total.scaled(1.0 / fleet.recentMaximum(now)));
    return buckets.bucket(account.name(), share, now);
  }

  @Override
  public void refund(ClientAccount account, double tokens) {
    long now = clock.getAsLong();
    bucket(account, now).refund(tokens, now);
  }

  /** Empties the bucket of an account, which refills its share from the given time on. */
  void restart(String account, long fromMilliseconds) {
    buckets.forget(account);
    buckets.bucket(account, new TokenRate(0, 0), fromMilliseconds);
  }
}
