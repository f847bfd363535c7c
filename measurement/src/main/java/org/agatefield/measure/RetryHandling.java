package org.agatefield.measure;

/** What an entry instance does with a caller's retry. */
enum RetryHandling {
  /** Runs it like any other request. */
  NAIVE,
  /** Runs it if a retry budget allows it, else refuses it. */
  BUDGETED,
  /** Joins it to the request in flight, if there is one. */
  JOINED
}
