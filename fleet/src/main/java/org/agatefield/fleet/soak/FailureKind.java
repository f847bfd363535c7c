package org.agatefield.fleet.soak;

/** Kinds of failures that a soak test injects. */
enum FailureKind {
  /** A daemon is killed and restarted. */
  KILL_DAEMON,
  /** A daemon is paused and resumed. */
  PAUSE_DAEMON,
  /** A daemon is shut down gracefully and restarted. */
  RESTART_DAEMON,
  /** The store rejects all calls. */
  STORE_DOWN,
  /** The store responds late. */
  STORE_SLOW,
  /** The store loses responses to writes that took effect. */
  STORE_LOSES_ANSWERS,
  /** An engine is killed and restarted. */
  KILL_ENGINE,
  /** An engine is paused and resumed. */
  PAUSE_ENGINE,
  /** An engine resets the connection after some tokens of a response. */
  ENGINE_CUTS_ANSWERS,
  /** An engine closes streams cleanly without their end marker. */
  ENGINE_ENDS_EARLY,
  /** An engine sends the response to one request as that of another. */
  ENGINE_CROSSES_ANSWERS,
  /** An engine executes orders late. */
  ENGINE_DELAYS_ORDERS,
  /** An engine executes each order twice and loses the responses. */
  ENGINE_DOUBLES_ORDERS,
  /** A runner of a service refuses calls. */
  SERVICE_REFUSES,
  /** A runner of a service executes calls but resets the connection instead of responding. */
  SERVICE_LOSES_ANSWERS,
  /** A runner of a service responds late. */
  SERVICE_SLOW,
  /** An engine is marked as leaving in the platform's instance list, then as live again. */
  ENGINE_LEAVES
}
