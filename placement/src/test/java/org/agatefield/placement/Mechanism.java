package org.agatefield.placement;

/** Mechanisms of the ledger that a test can switch off to show that each is needed. */
enum Mechanism {
  /** Memory is reserved in the store before an order is sent. */
  RESERVE_BEFORE_ORDER,
  /** The memory of a version stays reserved for the quarantine if the engine ignores tokens. */
  QUARANTINE,
  /** The memory of all adapters is reserved with each replica. */
  ADAPTERS_RESERVED,
  /** A retired entry retains the adapters for which load orders may still arrive. */
  RETIRED_ADAPTERS,
  /** A new planner writes its token into every ledger before it decides. */
  TAKEOVER_WRITES,
  /** The token of every order is above those of all earlier orders to the runner. */
  RISING_TOKENS
}
