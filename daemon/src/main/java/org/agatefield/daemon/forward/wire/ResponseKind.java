package org.agatefield.daemon.forward.wire;

/** What a runner's answer says about the request. */
public enum ResponseKind {
  /** It ran and succeeded. */
  SUCCESS,
  /** It ran and failed; the answer may be passed on as it is. */
  FAILURE,
  /** It did not run and never will, since the runner has no room or time for it. */
  REJECTED,
  /** It did not run and never will: another runner is meant, or the model is not there. */
  MISDIRECTED,
  /** The bytes are no answer to this request; it may have run. */
  UNUSABLE
}
