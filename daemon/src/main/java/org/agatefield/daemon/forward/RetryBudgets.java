package org.agatefield.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import org.agatefield.admission.FleetSize;
import org.agatefield.admission.WindowedRetryBudget;
import org.agatefield.settings.ForwardingSettings;

/**
 * The retry budgets of all services, as far as this instance may use them.
 *
 * <p>The reserve is divided by the most instances that were seen alive lately, so that the
 * instances together keep to it also while they do not see each other. Confined to one event loop.
 */
final class RetryBudgets {
  private static final double SHARE_USED =
      0.85; // requests that never reach an instance don't count
  private static final double RESERVE_USED = 0.8; // a restarted instance starts with a full part

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
