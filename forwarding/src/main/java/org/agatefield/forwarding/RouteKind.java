package org.agatefield.forwarding;

/** Whether the requests of a route may be run repeatedly, as configured by the operator. */
public enum RouteKind {
  /** May be run any number of times. */
  IDEMPOTENT,
  /** May be run at most once. */
  NON_IDEMPOTENT,
  /** Answered with a stream of events; may be run at most once unless it can be resumed. */
  STREAM
}
