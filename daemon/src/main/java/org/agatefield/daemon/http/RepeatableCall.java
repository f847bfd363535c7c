package org.agatefield.daemon.http;

import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * A call of a plain service that may be run again on another runner when one fails.
 *
 * <p>Invariants: one attempt at a time; the result completes once, and cancelling it ends the
 * running attempt. Safe for use by any thread; the one lock is {@code this}, futures are completed
 * outside it.
 */
final class RepeatableCall {
  private static final int MAXIMUM_ATTEMPTS = 4;
  private static final int STATUS_UNAVAILABLE = 503;

  private final CallerApiDependencies dependencies;
  private final UpstreamServiceClient client;
  private final ServiceRequest request;
  private final UpstreamServiceRequest upstreamRequest;
  private final AttemptHistory history = new AttemptHistory();
  private final CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
  private CompletableFuture<?> running;
  private int attempts;

  RepeatableCall(
      CallerApiDependencies dependencies,
      UpstreamServiceClient client,
      ServiceRequest request,
      UpstreamServiceRequest upstreamRequest) {
    this.dependencies = dependencies;
    this.client = client;
    this.request = request;
    this.upstreamRequest = upstreamRequest;
  }

  CompletableFuture<ServiceResponse> begin() {
    result.whenComplete((exchange, failure) -> cancelRunning());
    acquire(dependencies.dispatcher().acquire(request));
    return result;
  }

  private void acquire(CompletableFuture<Dispatch> acquisition) {
    setRunning(acquisition);
    acquisition.whenComplete(
        (dispatch, failure) -> {
          if (failure != null) {
            fail(AgatefieldException.from(failure));
          } else if (result.isDone()) {
            dispatch.finished(DispatchOutcome.CANCELLED);
          } else {
            send(dispatch);
          }
        });
  }

  private void send(Dispatch dispatch) {
    synchronized (this) {
      attempts++;
      history.sent(dispatch.version());
    }
    CompletableFuture<ServiceResponse> exchange =
        client.send(dispatch.upstream().address(), upstreamRequest);
    setRunning(exchange);
    exchange.whenComplete(
        (answer, failure) -> {
          if (failure != null) {
            attemptFailed(dispatch, AgatefieldException.from(failure));
          } else {
            answered(dispatch, answer);
          }
        });
  }

  private void answered(Dispatch dispatch, ServiceResponse answer) {
    if (answer.status() == STATUS_UNAVAILABLE && mayRetry()) {
      dependencies
          .dispatcher()
          .reacquire(dispatch, DispatchOutcome.REJECTED)
          .whenComplete(
              (next, failure) -> {
                if (failure != null) {
                  result.complete(answer);
                } else {
                  send(next);
                }
              });
      return;
    }
    dispatch.responseStarted();
    boolean rejected = answer.status() == STATUS_UNAVAILABLE;
    dispatch.finished(rejected ? DispatchOutcome.REJECTED : DispatchOutcome.SUCCEEDED);
    result.complete(answer);
  }

  private void attemptFailed(Dispatch dispatch, AgatefieldException failure) {
    synchronized (this) {
      history.failed(failure);
    }
    if (result.isDone()) {
      dispatch.finished(DispatchOutcome.CANCELLED);
      return;
    }
    boolean unreachable = failure.kind() == ErrorKind.NO_UPSTREAM;
    DispatchOutcome outcome = unreachable ? DispatchOutcome.UNREACHABLE : DispatchOutcome.FAILED;
    if (mayRetry()) {
      acquire(dependencies.dispatcher().reacquire(dispatch, outcome));
    } else {
      dispatch.finished(outcome);
      fail(failure);
    }
  }

  private synchronized boolean mayRetry() {
    return attempts < MAXIMUM_ATTEMPTS;
  }

  private void fail(AgatefieldException failure) {
    AgatefieldException reported;
    synchronized (this) {
      reported = history.finalFailure(failure);
    }
    result.completeExceptionally(reported);
  }

  private synchronized void setRunning(CompletableFuture<?> future) {
    running = future;
  }

  private void cancelRunning() {
    CompletableFuture<?> last;
    synchronized (this) {
      last = running;
    }
    if (last != null) {
      last.cancel(true);
    }
  }
}
