package org.agatefield.daemon.forward.wire;

/** Classifies a runner's response to a request. */
public enum ResponseKind {
  /** The request ran and succeeded. */
  SUCCESS,
  /** The request ran and failed; the response may be forwarded unchanged. */
  FAILURE,
  /** The request has not run and never will, because the runner lacks capacity or time. */
  REJECTED,
  /**
   * The request has not run and never will: it was meant for another runner, or the model is
   * missing.
   */
  MISDIRECTED,
  /** The bytes are not a response to this request, which may have run. */
  UNUSABLE
}
