package org.agatefield.forwarding;

/** Why a request failed that may have run. */
public enum FailureReason {
  /** The runner broke off or answered something that is no answer to the request. */
  RUNNER_FAILED,
  /** The deadline or the route's timeout passed while a runner may have been executing it. */
  DEADLINE
}
