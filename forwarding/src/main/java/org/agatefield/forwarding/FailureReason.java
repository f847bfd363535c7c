package org.agatefield.forwarding;

/** Why a request that may have run failed. */
public enum FailureReason {
  /** The runner closed the connection early or its answer was not a valid answer to the request. */
  RUNNER_FAILED,
  /** The deadline or the route's timeout passed while a runner may have been executing it. */
  DEADLINE,
  /** The code that handles the request has failed. */
  INTERNAL_ERROR
}
