package org.agatefield.placement;

/** The mechanisms of the ledger that a test can switch off to see what they prevent. */
enum Mechanism {
  /** Memory is reserved in the store before an order is sent. */
  RESERVE_BEFORE_ORDER,
  /** A version on an engine that ignores tokens stays counted for the quarantine. */
  QUARANTINE,
  /** The memory of all adapters is reserved beside each replica. */
  ADAPTERS_RESERVED,
  /** A retired version keeps the adapters whose loads may still arrive. */
  RETIRED_ADAPTERS,
  /** A new planner writes its token into every ledger before it decides. */
  TAKEOVER_WRITES,
  /** The token of every order is above those of all earlier orders to the runner. */
  RISING_TOKENS
}
