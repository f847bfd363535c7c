package org.agatefield.daemon.forward;

import java.util.OptionalLong;
import org.agatefield.forwarding.RequestTraits;
import org.agatefield.forwarding.RunnerEntry;

/**
 * What one request would risk at the runners of its service. Immutable; its answers change with
 * what is known of crashes. Confined to one event loop.
 *
 * @param traits what runners may crash on in the request
 */
record CrashRisk(ForwardingContext context, String service, RequestTraits traits) {
  /**
   * Returns until when the request is quarantined, in monotonic milliseconds; empty if it is not.
   */
  OptionalLong quarantinedUntil() {
    return context.quarantine().quarantinedUntil(traits.ids());
  }

  /** Returns whether the request may crash the only runner that is left of its service. */
  boolean threatensLastRunner() {
    return context.quarantine().isSuspected(traits.ids())
        && context.selector().isLastRunnerLeft(service, this::hasCrashed);
  }

  private boolean hasCrashed(RunnerEntry entry) {
    return context.quarantine().hasCrashed(entry.id(), entry.startTimeMilliseconds());
  }
}
