package org.agatefield.daemon.core;

/** The outcome of an attempt. */
public enum DispatchOutcome {
  /** The complete response was received. */
  SUCCEEDED,
  /** The upstream refused the request because it is overloaded. */
  REJECTED,
  /** The connection could not be established; nothing was sent. */
  UNREACHABLE,
  /** The upstream returned an error or its response was truncated. */
  FAILED,
  /** The deadline passed before the complete response was received. */
  TIMED_OUT,
  /** The caller disconnected, or this instance cancelled the attempt for another reason. */
  CANCELLED
}
