package org.agatefield.daemon.dispatch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.daemon.quarantine.CrashProtection;
import org.agatefield.daemon.quarantine.RequestQuarantine;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.Upstream;
import org.agatefield.model.VersionId;

/**
 * Refuses requests that crash upstreams, and reports what became of each attempt.
 *
 * <p>Invariant: no dispatch is returned for a request that is quarantined at that moment, whether
 * it is new, has waited, or is to be tried again. Thread-safe.
 */
public final class QuarantiningDispatcher implements Dispatcher {
  private final Dispatcher dispatcher;
  private final CrashProtection protection;

  /** Creates a dispatcher that passes requests that are not quarantined to another one. */
  public QuarantiningDispatcher(Dispatcher dispatcher, CrashProtection protection) {
    this.dispatcher = dispatcher;
    this.protection = protection;
  }

  @Override
  public CompletableFuture<Dispatch> acquire(ModelRequest request) {
    return admit(request.fingerprint(), () -> dispatcher.acquire(request));
  }

  @Override
  public CompletableFuture<Dispatch> acquire(ServiceRequest request) {
    return admit(request.fingerprint(), () -> dispatcher.acquire(request));
  }

  @Override
  public CompletableFuture<Dispatch> reacquire(Dispatch failed, DispatchOutcome outcome) {
    ObservedDispatch observed = (ObservedDispatch) failed;
    observed.report(outcome);
    Optional<AgatefieldException> refusal = refusal(observed.request);
    if (refusal.isPresent()) {
      observed.dispatch.finished(outcome);
      return CompletableFuture.failedFuture(refusal.get());
    }
    return observe(observed.request, dispatcher.reacquire(observed.dispatch, outcome));
  }

  private CompletableFuture<Dispatch> admit(
      RequestFingerprint request, Supplier<CompletableFuture<Dispatch>> acquisition) {
    Optional<AgatefieldException> refusal = refusal(request);
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get());
    }
    return observe(request, acquisition.get());
  }

  /** Passes on an acquired dispatch whose outcome is reported; cancelling the result cancels it. */
  private CompletableFuture<Dispatch> observe(
      RequestFingerprint request, CompletableFuture<Dispatch> acquired) {
    CompletableFuture<Dispatch> result = new CompletableFuture<>();
    result.whenComplete(
        (dispatch, failure) -> {
          if (result.isCancelled()) {
            acquired.cancel(true);
          }
        });
    acquired.whenComplete((dispatch, failure) -> pass(request, dispatch, failure, result));
    return result;
  }

  private void pass(
      RequestFingerprint request,
      Dispatch dispatch,
      Throwable failure,
      CompletableFuture<Dispatch> result) {
    if (failure != null) {
      result.completeExceptionally(failure);
      return;
    }
    Optional<AgatefieldException> refusal = refusal(request); // It may have waited in the queue.
    if (refusal.isPresent()) {
      dispatch.finished(DispatchOutcome.CANCELLED);
      result.completeExceptionally(refusal.get());
    } else if (!result.complete(new ObservedDispatch(dispatch, request))) {
      dispatch.finished(DispatchOutcome.CANCELLED);
    }
  }

  private Optional<AgatefieldException> refusal(RequestFingerprint request) {
    return protection
        .quarantinedFor(request)
        .map(
            remaining ->
                new AgatefieldException(
                    ErrorKind.REQUEST_CRASHES_UPSTREAMS,
                    "upstreams crashed each time they began to run this request",
                    remaining));
  }

  /** An attempt whose outcome is evidence for or against its request. Thread-safe. */
  private final class ObservedDispatch implements Dispatch {
    private static final long NOT_STARTED = Long.MIN_VALUE;

    private final Dispatch dispatch;
    private final RequestFingerprint request;
    private final long sentAt = System.currentTimeMillis();
    private final AtomicLong startedNanoseconds = new AtomicLong(NOT_STARTED);
    private final AtomicBoolean reported = new AtomicBoolean();

    ObservedDispatch(Dispatch dispatch, RequestFingerprint request) {
      this.dispatch = dispatch;
      this.request = request;
    }

    @Override
    public long attemptNumber() {
      return dispatch.attemptNumber();
    }

    @Override
    public Upstream upstream() {
      return dispatch.upstream();
    }

    @Override
    public Optional<VersionId> version() {
      return dispatch.version();
    }

    @Override
    public Optional<String> adapter() {
      return dispatch.adapter();
    }

    @Override
    public void responseStarted() {
      startedNanoseconds.compareAndSet(NOT_STARTED, System.nanoTime());
      dispatch.responseStarted();
    }

    @Override
    public void finished(DispatchOutcome outcome) {
      report(outcome);
      dispatch.finished(outcome);
    }

    private void report(DispatchOutcome outcome) {
      if (!reported.compareAndSet(false, true)) {
        return;
      }
      if (outcome == DispatchOutcome.SUCCEEDED || outlivedStart()) {
        protection.survived(request);
      } else if (outcome == DispatchOutcome.FAILED) {
        protection.failed(upstream(), request, sentAt);
      } else if (outcome == DispatchOutcome.TIMED_OUT) {
        protection.stalled(upstream(), request, sentAt);
      }
    }

    /** Returns whether the upstream continued to run for a while after it had begun to respond. */
    private boolean outlivedStart() {
      long started = startedNanoseconds.get();
      return started != NOT_STARTED
          && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started)
              >= RequestQuarantine.SURVIVAL_MILLISECONDS;
    }
  }
}
