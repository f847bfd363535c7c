package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import org.agatefield.admission.FleetSize;
import org.agatefield.admission.WindowedRetryBudget;
import org.agatefield.settings.ForwardingSettings;

/**
 * Manages this instance's share of the retry budgets of all services.
 *
 * <p>The reserve is divided by the highest recent number of live instances, so that all instances
 * together stay within it even during a partition. Confined to one event loop.
 */
final class RetryBudgets {
  // Requests that never reach an instance do not count.
  private static final double SHARE_USED = 0.85;
  private static final double RESERVE_USED = 0.8; // A restarted instance starts with a full share.

  private final ForwardingSettings.Terms terms;
  private final FleetSize fleet;
  private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();

  RetryBudgets(ForwardingSettings.Terms terms, FleetSize fleet) {
    this.terms = terms;
    this.fleet = fleet;
  }

  void requested(String service) {
    budget(service).requested(MonotonicClock.milliseconds());
  }

  boolean tryTake(String service) {
    long now = MonotonicClock.milliseconds();
    return budget(service).tryTake(reserve(now), now);
  }

  double left(String service) {
    long now = MonotonicClock.milliseconds();
    return budget(service).left(reserve(now), now);
  }

  private double reserve(long now) {
    return RESERVE_USED * terms.retryReserve() / fleet.recentMaximum(now);
  }

  private WindowedRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        ignored ->
            new WindowedRetryBudget(
                SHARE_USED * terms.retryShare(), terms.retryWindow().toMillis()));
  }
}
