package org.agatefield.model;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * A failure of one of the closed {@linkplain ErrorKind kinds}; futures complete exceptionally with
 * it. Immutable.
 */
public class AgatefieldException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final RunState runState;
  private final transient Duration retryAfter;

  /** Creates a failure with the kind's own run state and no time to come back. */
  public AgatefieldException(ErrorKind kind, String message) {
    this(kind, kind.runState(), message, null, null);
  }

  /** Creates a failure that tells the caller when to come back. */
  public AgatefieldException(ErrorKind kind, String message, Duration retryAfter) {
    this(kind, kind.runState(), message, retryAfter, null);
  }

  /** Creates a failure with a cause. */
  public AgatefieldException(ErrorKind kind, String message, Throwable cause) {
    this(kind, kind.runState(), message, null, cause);
  }

  /**
   * Creates a failure with a run state that is better known than the kind's own.
   *
   * @param retryAfter when to come back, or null if the answer gives no time
   * @param cause the underlying failure, or null
   */
  public AgatefieldException(
      ErrorKind kind, RunState runState, String message, Duration retryAfter, Throwable cause) {
    super(message, cause);
    this.kind = kind;
    this.runState = runState;
    this.retryAfter = retryAfter;
  }

  /** Returns the kind of failure. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns whether an upstream executed the request. */
  public RunState runState() {
    return runState;
  }

  /** Returns when the caller may come back, if that is known. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }

  /** Returns the failure inside {@code throwable}, or an internal one that wraps it. */
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
