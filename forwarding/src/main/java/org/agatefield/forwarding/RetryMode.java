package org.agatefield.forwarding;

/** How a request may be executed again after an attempt that may have been executed. */
public enum RetryMode {
  /** Not at all. */
  NEVER,
  /** As a whole, as long as no byte of an answer was delivered. */
  RESTART,
  /** As a whole before the first event was delivered, afterwards from the last delivered event. */
  RESUME
}
