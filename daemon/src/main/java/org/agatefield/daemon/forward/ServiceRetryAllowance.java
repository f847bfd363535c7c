package org.agatefield.daemon.forward;

import org.agatefield.forwarding.RetryAllowance;

/**
 * Grants the additional attempts of one request from its service's retry budget. Confined to one
 * event loop.
 */
record ServiceRetryAllowance(RetryBudgets budgets, String service) implements RetryAllowance {
  @Override
  public boolean tryTake() {
    return budgets.tryTake(service);
  }

  @Override
  public boolean isAvailable() {
    return budgets.left(service) >= 1;
  }
}
