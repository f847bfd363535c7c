package org.agatefield.engine;

/** The results of orders to an engine. */
public enum OrderResult {
  /** The order has taken effect. */
  DONE,
  /** The fencing token is lower than one received earlier; the order had no effect. */
  REFUSED_OLD_TOKEN,
  /** The engine has not enough free memory; the order had no effect. */
  REFUSED_NO_MEMORY,
  /** The order is not possible in the engine's current state; it had no effect. */
  REFUSED_INVALID
}
