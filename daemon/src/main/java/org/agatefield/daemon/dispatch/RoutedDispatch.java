package org.agatefield.daemon.dispatch;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;

/**
 * Reports the progress of one attempt to the dispatcher that created it.
 *
 * <p>Invariant: notifies its listener of the start of the response and of the end of the attempt at
 * most once each. Thread-safe.
 */
final class RoutedDispatch implements Dispatch {
  private final Listener listener;
  private final PendingRequest pending;
  private final long attemptNumber;
  private final Upstream upstream;
  private final long sentNanoseconds;
  private final AtomicBoolean started = new AtomicBoolean();
  private final AtomicBoolean ended = new AtomicBoolean();

  /** Receives the progress of attempts. */
  interface Listener {
    void responseStarted(RoutedDispatch dispatch);

    void finished(RoutedDispatch dispatch, DispatchOutcome outcome);
  }

  RoutedDispatch(
      Listener listener,
      PendingRequest pending,
      long attemptNumber,
      Upstream upstream,
      long sentNanoseconds) {
    this.listener = listener;
    this.pending = pending;
    this.attemptNumber = attemptNumber;
    this.upstream = upstream;
    this.sentNanoseconds = sentNanoseconds;
  }

  PendingRequest pending() {
    return pending;
  }

  long sentNanoseconds() {
    return sentNanoseconds;
  }

  boolean hasResponseStarted() {
    return started.get();
  }

  @Override
  public long attemptNumber() {
    return attemptNumber;
  }

  @Override
  public Upstream upstream() {
    return upstream;
  }

  @Override
  public Optional<VersionId> version() {
    return pending.target.version();
  }

  @Override
  public Optional<String> adapter() {
    return pending.target.adapter();
  }

  @Override
  public void responseStarted() {
    if (started.compareAndSet(false, true)) {
      listener.responseStarted(this);
    }
  }

  @Override
  public void finished(DispatchOutcome outcome) {
    if (ended.compareAndSet(false, true)) {
      listener.finished(this, outcome);
    }
  }
}
