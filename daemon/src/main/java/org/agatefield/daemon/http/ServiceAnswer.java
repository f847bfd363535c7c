package org.agatefield.daemon.http;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;

/**
 * Waits for the answer of a service until the caller's deadline and writes it.
 *
 * <p>Invariant: the caller is answered once. A call that goes on after the deadline, or after the
 * caller has gone, is not disturbed if it must not repeat. Confined to the context of the request.
 */
final class ServiceAnswer {
  private final CallerApiDependencies dependencies;
  private final Context context;
  private final HttpServerResponse response;
  private final RequestAttributes terms;
  private final CompletableFuture<ServiceResponse> answer;
  private final Runnable onCompletion;
  private long deadlineTimer;
  private boolean completed;

  ServiceAnswer(
      CallerApiDependencies dependencies,
      RoutingContext routing,
      RequestAttributes terms,
      CompletableFuture<ServiceResponse> answer,
      Runnable onCompletion) {
    this.dependencies = dependencies;
    this.context = dependencies.vertx().getOrCreateContext();
    this.response = routing.response();
    this.terms = terms;
    this.answer = answer;
    this.onCompletion = onCompletion;
  }

  void begin() {
    response.closeHandler(ignored -> callerDisconnected());
    long remaining = Math.max(1, terms.remaining().toMillis());
    deadlineTimer = dependencies.vertx().setTimer(remaining, ignored -> deadlinePassed());
    answer.whenComplete((exchange, failure) -> onContext(() -> answered(exchange, failure)));
  }

  private void onContext(Runnable action) {
    if (Vertx.currentContext() == context) {
      action.run();
    } else {
      context.runOnContext(ignored -> action.run());
    }
  }

  private void answered(ServiceResponse exchange, Throwable failure) {
    if (completed) {
      return;
    }
    finish();
    if (failure == null) {
      ServiceHandler.write(response, exchange).onComplete(ignored -> onCompletion.run());
    } else {
      fail(AgatefieldException.from(failure));
    }
  }

  private void deadlinePassed() {
    if (completed) {
      return;
    }
    finish();
    answer.cancel(true);
    fail(
        new AgatefieldException(
            ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while the call was running"));
  }

  private void callerDisconnected() {
    if (!completed) {
      finish();
      answer.cancel(true);
      onCompletion.run();
    }
  }

  private void fail(AgatefieldException failure) {
    dependencies.metrics().counter("agatefield.callers.errors." + failure.kind().code()).inc();
    ErrorAnswer.send(response, failure).onComplete(ignored -> onCompletion.run());
  }

  private void finish() {
    completed = true;
    dependencies.vertx().cancelTimer(deadlineTimer);
  }
}
