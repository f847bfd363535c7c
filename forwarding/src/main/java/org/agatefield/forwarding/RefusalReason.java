package org.agatefield.forwarding;

/** Why a request was refused without having run. */
public enum RefusalReason {
  /** No configuration has been loaded yet. */
  NO_CONFIGURATION,
  /** The service has no runner that could take the request. */
  NO_RUNNER,
  /** No runner has the model loaded, and none can load it in time. */
  MODEL_ABSENT,
  /** Every runner that could take the request is fully loaded. */
  OVERLOADED,
  /** The deadline has passed, or will pass before the request can start. */
  DEADLINE,
  /** The retry budget is exhausted. */
  RETRY_BUDGET,
  /** This instance is shutting down. */
  SHUTTING_DOWN,
  /** The configuration does not, or no longer, contain the client account's key. */
  UNKNOWN_KEY,
  /** The client account has used up its quota. */
  OVER_QUOTA,
  /** Whether the client account's quota allows the request could not be determined. */
  QUOTA_UNKNOWN,
  /** The code that handles the request has failed. */
  INTERNAL_ERROR,
  /** The request may have crashed a runner, and only one runner of its service is left. */
  MAY_CRASH_LAST_RUNNER,
  /** The request, or a part of its prompt, has crashed the runners that began to run it. */
  REQUEST_CRASHES_RUNNERS
}
