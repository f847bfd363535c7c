package org.agatefield.daemon.forward.wire;

/** The outcome of an order at a runner. */
public enum OrderOutcome {
  /** The runner is executing the order. */
  ACCEPTED,
  /** The runner is already in the ordered state. */
  FULFILLED,
  /** Another order is in progress, or the count of orders differs. */
  CONFLICT,
  /** A newer lease holder has sent orders. */
  FENCED,
  /** The order reached another runner, or its model or adapter is unknown. */
  INVALID,
  /** The order may or may not be executed, now or later. */
  UNKNOWN
}
