package org.agatefield.forwarding;

/** What the operator says about repeating the requests of a route. */
public enum RouteKind {
  /** May be executed any number of times. */
  IDEMPOTENT,
  /** May be executed once at most. */
  NON_IDEMPOTENT,
  /** Answered with a stream of events; may be executed once at most unless it can be resumed. */
  STREAM
}
