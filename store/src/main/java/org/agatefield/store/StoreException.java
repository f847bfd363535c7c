package org.agatefield.store;

import java.util.Optional;
import java.util.concurrent.CompletionException;

/** Signals a failed call of the object store. Immutable. */
public final class StoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final StoreFailure failure;

  /** Creates a failure. */
  public StoreException(StoreFailure failure, String message) {
    super(message);
    this.failure = failure;
  }

  /** Creates a failure with its cause. */
  public StoreException(StoreFailure failure, String message, Throwable cause) {
    super(message, cause);
    this.failure = failure;
  }

  /** Returns why the call failed. */
  public StoreFailure failure() {
    return failure;
  }

  /** Returns the failure of the {@link StoreException} wrapped by {@code throwable}, if any. */
  public static Optional<StoreFailure> failureOf(Throwable throwable) {
    Throwable unwrapped = throwable;
    while (unwrapped instanceof CompletionException && unwrapped.getCause() != null) {
      unwrapped = unwrapped.getCause();
    }
    return unwrapped instanceof StoreException known
        ? Optional.of(known.failure())
        : Optional.empty();
  }
}
