package org.agatefield.model;

import java.util.Locale;

/**
 * All kinds of errors, with the HTTP status, run state and retry advice that callers get.
 *
 * <p>Invariant: a kind whose {@link #runState()} is {@link RunState#NO} is only used if it is
 * proved that no upstream executed the request. Immutable and thread-safe.
 */
public enum ErrorKind {
  /** The request is malformed; the message names the field and the rule. */
  INVALID_REQUEST(400, RunState.NO, RetryAdvice.NEVER),
  /** A non-repeatable call was sent without an idempotency key. */
  MISSING_IDEMPOTENCY_KEY(400, RunState.NO, RetryAdvice.NEVER),
  /** The caller is not authenticated. */
  UNAUTHENTICATED(401, RunState.NO, RetryAdvice.NEVER),
  /** The caller is authenticated but not authorized. */
  FORBIDDEN(403, RunState.NO, RetryAdvice.NEVER),
  /** No deployment, adapter, service or path of that name is configured. */
  NOT_FOUND(404, RunState.NO, RetryAdvice.NEVER),
  /** Another call with the same idempotency key is still running. */
  KEY_IN_PROGRESS(409, RunState.UNKNOWN, RetryAdvice.AFTER_DELAY),
  /** The configuration changed after the caller read the document that it now replaces. */
  CONFIGURATION_CONFLICT(409, RunState.NO, RetryAdvice.NEVER),
  /** The body exceeds the configured limit. */
  BODY_TOO_LARGE(413, RunState.NO, RetryAdvice.NEVER),
  /** The idempotency key was used before with another request body. */
  KEY_REUSED(422, RunState.NO, RetryAdvice.NEVER),
  /** The idempotency key is older than the retention of outcomes. */
  KEY_EXPIRED(422, RunState.UNKNOWN, RetryAdvice.NEVER),
  /** The configuration document violates a rule. */
  CONFIGURATION_REFUSED(422, RunState.NO, RetryAdvice.NEVER),
  /** The caller exceeds its fair share while other callers wait. */
  OVER_FAIR_SHARE(429, RunState.NO, RetryAdvice.AFTER_DELAY),
  /** The request headers exceed the configured limit. */
  HEADERS_TOO_LARGE(431, RunState.NO, RetryAdvice.NEVER),
  /** An unexpected fault inside agatefield. */
  INTERNAL(500, RunState.UNKNOWN, RetryAdvice.IF_IDEMPOTENT),
  /** The upstream returned an error or refused the request. */
  UPSTREAM_FAILED(502, RunState.UNKNOWN, RetryAdvice.IF_IDEMPOTENT),
  /** The upstream's answer ended before its end marker. */
  UPSTREAM_ANSWER_CUT(502, RunState.YES, RetryAdvice.IF_IDEMPOTENT),
  /** The queues are full. */
  OVERLOADED(503, RunState.NO, RetryAdvice.AFTER_DELAY),
  /** The request was not started because it cannot finish before its deadline. */
  DEADLINE_UNREACHABLE(503, RunState.NO, RetryAdvice.AFTER_DELAY),
  /** The request needs the platform's store, which is unreachable. */
  STORE_UNAVAILABLE(503, RunState.NO, RetryAdvice.AFTER_DELAY),
  /** No upstream can accept the request. */
  NO_UPSTREAM(503, RunState.NO, RetryAdvice.AFTER_DELAY),
  /** Upstreams crashed each time they began to run the same request, so it is kept from them. */
  REQUEST_CRASHES_UPSTREAMS(503, RunState.NO, RetryAdvice.AFTER_DELAY),
  /** This instance is shutting down and accepts no new requests. */
  SHUTTING_DOWN(503, RunState.NO, RetryAdvice.AFTER_DELAY),
  /** The deadline passed while the upstream was executing the request. */
  DEADLINE_EXCEEDED(504, RunState.UNKNOWN, RetryAdvice.IF_IDEMPOTENT),
  /** A non-repeatable call was started and its outcome is lost; it is not executed again. */
  OUTCOME_UNKNOWN(504, RunState.UNKNOWN, RetryAdvice.NEVER);

  private final int httpStatus;
  private final RunState runState;
  private final RetryAdvice retryAdvice;

  ErrorKind(int httpStatus, RunState runState, RetryAdvice retryAdvice) {
    this.httpStatus = httpStatus;
    this.runState = runState;
    this.retryAdvice = retryAdvice;
  }

  /** Returns the HTTP status of the answer. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the request was executed, as stated in the answer. */
  public RunState runState() {
    return runState;
  }

  /** Returns whether the caller may send the request again. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }

  /** Returns the name used in answers, in lower case with underscores. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
