package org.agatefield.model;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * A failure of one of the {@linkplain ErrorKind error kinds}; also completes futures exceptionally.
 * Immutable.
 */
public class AgatefieldException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final RunState runState;
  private final transient Duration retryAfter;

  /** Creates a failure with the default run state of its kind and no retry time. */
  public AgatefieldException(ErrorKind kind, String message) {
    this(kind, kind.runState(), message, null, null);
  }

  /** Creates a failure that tells the caller when to retry. */
  public AgatefieldException(ErrorKind kind, String message, Duration retryAfter) {
    this(kind, kind.runState(), message, retryAfter, null);
  }

  /** Creates a failure with a cause. */
  public AgatefieldException(ErrorKind kind, String message, Throwable cause) {
    this(kind, kind.runState(), message, null, cause);
  }

  /**
   * Creates a failure with a more precise run state than the default of its kind.
   *
   * @param retryAfter time after which to retry, or null if unknown
   * @param cause the underlying failure, or null
   */
  public AgatefieldException(
      ErrorKind kind, RunState runState, String message, Duration retryAfter, Throwable cause) {
    super(message, cause);
    this.kind = kind;
    this.runState = runState;
    this.retryAfter = retryAfter;
  }

  /** Returns the kind of this failure. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns whether an upstream executed the request. */
  public RunState runState() {
    return runState;
  }

  /** Returns the time after which the caller may retry, if known. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }

  /** Returns the failure wrapped by {@code throwable}, or an internal failure that wraps it. */
  public static AgatefieldException from(Throwable throwable) {
    Throwable unwrapped = throwable;
    while (unwrapped instanceof CompletionException && unwrapped.getCause() != null) {
      unwrapped = unwrapped.getCause();
    }
    if (unwrapped instanceof AgatefieldException known) {
      return known;
    }
    return new AgatefieldException(ErrorKind.INTERNAL, "unexpected fault: " + unwrapped, unwrapped);
  }
}
