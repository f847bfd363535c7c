package org.agatefield.daemon.calls;

import java.time.Duration;
import org.agatefield.idempotency.RetentionPolicy;

/**
 * Defines the time limits of non-repeatable calls. Immutable.
 *
 * @param retention minimum time for which outcomes are retained
 * @param clockSkew maximum difference between the wall clocks of instances
 * @param joinLimit maximum time that a retry waits for an execution at another instance
 * @param holderGrace how long after a service's timeout, or after a holder was last seen alive, its
 *     call is still considered running
 * @param lateEffectWindow how long a create without a response is checked for a late effect
 */
public record CallLimits(
    Duration retention,
    Duration clockSkew,
    Duration joinLimit,
    Duration holderGrace,
    Duration lateEffectWindow) {
  /** Returns the default limits with the given retention. */
  public static CallLimits withRetention(Duration retention) {
    return new CallLimits(
        retention,
        Duration.ofMinutes(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofMinutes(10));
  }

  /** Returns the policy for the retention of claims. */
  RetentionPolicy retentionPolicy() {
    return new RetentionPolicy(retention.toMillis(), clockSkew.toMillis());
  }
}
