package org.agatefield.daemon.calls;

import java.time.Duration;
import org.agatefield.idempotency.RetentionPolicy;

/**
 * Bounds of calls that must not repeat. Immutable.
 *
 * @param retention how long outcomes are kept at least
 * @param clockSkew how far wall clocks of instances may differ
 * @param joinLimit how long a retry waits for an execution at another instance
 * @param holderGrace how long after a service's timeout, or after a holder was last seen alive, its
 *     call is still taken to be running
 * @param lateEffectWindow how long a create without an answer is watched for taking effect
 */
public record CallLimits(
    Duration retention,
    Duration clockSkew,
    Duration joinLimit,
    Duration holderGrace,
    Duration lateEffectWindow) {
  /** Returns the usual limits with a retention. */
  public static CallLimits withRetention(Duration retention) {
    return new CallLimits(
        retention,
        Duration.ofMinutes(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofMinutes(10));
  }

  /** Returns the rules for how long claims are kept. */
  RetentionPolicy retentionPolicy() {
    return new RetentionPolicy(retention.toMillis(), clockSkew.toMillis());
  }
}
