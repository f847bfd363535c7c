package org.agatefield.daemon.calls;

import java.time.Duration;
import org.agatefield.daemon.core.InstanceDirectory;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.Claim;
import org.agatefield.idempotency.ClaimEvent.HolderState;

/**
 * Evaluates whether the holder of a claim without an outcome may still be executing the call.
 *
 * <p>Compares wall clocks of several instances. A wrong result changes only the reply to a retry,
 * never whether the call is executed. Thread-safe.
 */
final class HolderStateEvaluator {
  private final InstanceDirectory instances;
  private final ClaimRemover remover;
  private final Duration grace;

  HolderStateEvaluator(InstanceDirectory instances, ClaimRemover remover, Duration grace) {
    this.instances = instances;
    this.remover = remover;
    this.grace = grace;
  }

  HolderState stateOf(Claim<ServiceResponse> claim) {
    if (remover.isAbandoned(claim.attemptId())) {
      return HolderState.ABANDONED;
    }
    long age = System.currentTimeMillis() - claim.claimedAtMilliseconds();
    if (age < grace.toMillis()) {
      return HolderState.RUNNING;
    }
    boolean alive = instances.alive().stream().anyMatch(each -> each.id().equals(claim.holder()));
    boolean inTime = age < claim.timeoutMilliseconds() + grace.toMillis();
    return alive && inTime ? HolderState.RUNNING : HolderState.GONE;
  }
}
