package org.agatefield.fleet.soak;

/** The failures that a soak brings about. */
enum FailureKind {
  /** A daemon is killed and started again. */
  KILL_DAEMON,
  /** A daemon is paused and goes on. */
  PAUSE_DAEMON,
  /** A daemon is asked to end and is started again. */
  RESTART_DAEMON,
  /** The store refuses all calls. */
  STORE_DOWN,
  /** The store answers late. */
  STORE_SLOW,
  /** The store loses answers to writes that took effect. */
  STORE_LOSES_ANSWERS,
  /** An engine is killed and started again. */
  KILL_ENGINE,
  /** An engine is paused and goes on. */
  PAUSE_ENGINE,
  /** An engine cuts its answers after some tokens. */
  ENGINE_CUTS_ANSWERS,
  /** An engine ends streams in good order before their end marker. */
  ENGINE_ENDS_EARLY,
  /** An engine sends the answer of one request to another. */
  ENGINE_CROSSES_ANSWERS,
  /** An engine carries orders out late. */
  ENGINE_DELAYS_ORDERS,
  /** An engine carries each order out twice and loses the answers. */
  ENGINE_DOUBLES_ORDERS,
  /** A service's runner refuses calls. */
  SERVICE_REFUSES,
  /** A service's runner executes calls and closes the connection. */
  SERVICE_LOSES_ANSWERS,
  /** A service's runner answers late. */
  SERVICE_SLOW,
  /** The platform's list says that an engine is leaving, then that it is live again. */
  ENGINE_LEAVES
}
