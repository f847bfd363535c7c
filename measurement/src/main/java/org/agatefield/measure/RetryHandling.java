package org.agatefield.measure;

/** How an entry instance handles a caller's retry. */
enum RetryHandling {
  /** Runs the retry like a new request. */
  NAIVE,
  /** Runs the retry if the retry budget allows it, and refuses it otherwise. */
  BUDGETED,
  /** Joins the retry to the request in flight, if any. */
  JOINED
}
