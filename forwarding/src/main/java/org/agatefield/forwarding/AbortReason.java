package org.agatefield.forwarding;

/** Why a stream was aborted before its end. */
public enum AbortReason {
  /** The stream broke off and its route does not allow that another runner resumes it. */
  NOT_RESUMABLE,
  /** The request's attempts or the retry budget are used up. */
  RETRIES_EXHAUSTED,
  /** No runner could resume the stream. */
  NO_RUNNER,
  /** The deadline or the route's timeout passed, or this instance terminates. */
  DEADLINE,
  /** The code that handles the request has failed. */
  INTERNAL_ERROR
}
