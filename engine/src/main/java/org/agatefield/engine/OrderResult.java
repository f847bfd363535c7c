package org.agatefield.engine;

/** What an engine answered to an order. */
public enum OrderResult {
  /** The engine is now as ordered. */
  DONE,
  /** The order's fencing token is lower than one that the engine has seen; nothing was done. */
  REFUSED_OLD_TOKEN,
  /** The engine has not the memory; nothing was done. */
  REFUSED_NO_MEMORY,
  /** The order cannot be carried out in the engine's state; nothing was done. */
  REFUSED_INVALID
}
