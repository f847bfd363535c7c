package org.agatefield.daemon.forward.wire;

/** What a runner did with an order. */
public enum OrderOutcome {
  /** It is being carried out. */
  ACCEPTED,
  /** It is fulfilled already. */
  FULFILLED,
  /** Another order is under way, or the count of orders differs. */
  CONFLICT,
  /** A newer holder has given orders. */
  FENCED,
  /** The runner is another one, or does not know what is meant. */
  INVALID,
  /** It may or may not be carried out, now or later. */
  UNKNOWN
}
