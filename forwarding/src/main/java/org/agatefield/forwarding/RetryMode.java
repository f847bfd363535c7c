package org.agatefield.forwarding;

/** How a request may be run again after an attempt that may have run. */
public enum RetryMode {
  /** Never. */
  NEVER,
  /** From the start, as long as no byte of an answer was delivered. */
  RESTART,
  /**
   * From the start before the first event was delivered, afterwards from the last delivered event.
   */
  RESUME
}
