package org.agatefield.model;

/** Whether a caller that received an error may send the same request again. Immutable. */
public enum RetryAdvice {
  /** Sending the same request again gives the same error. */
  NEVER,
  /** The same request may succeed after the time given in the answer. */
  AFTER_DELAY,
  /** The same request may be sent again at once if it is idempotent. */
  IF_IDEMPOTENT
}
