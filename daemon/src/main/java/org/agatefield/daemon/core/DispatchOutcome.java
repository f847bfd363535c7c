package org.agatefield.daemon.core;

/** How an attempt ended. */
public enum DispatchOutcome {
  /** The whole answer came. */
  SUCCEEDED,
  /** The upstream refused because it is overloaded. */
  REJECTED,
  /** The connection could not be made; nothing was sent. */
  UNREACHABLE,
  /** The upstream answered with an error or its answer was cut. */
  FAILED,
  /** The deadline passed before the whole answer came. */
  TIMED_OUT,
  /** The caller went away or the attempt was given up for another reason of ours. */
  CANCELLED
}
