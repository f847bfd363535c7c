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
 * Waits for the answer of a plain service until the caller's deadline and writes it to the caller.
 *
 * <p>Invariant: the caller is answered once. A non-repeatable call continues after the deadline and
 * after the caller has disconnected. Confined to the context of the request.
 */
final class ServiceAnswer {
  private final CallerApiDependencies dependencies;
  private final Context context;
  private final HttpServerResponse response;
  private final RequestAttributes attributes;
  private final CompletableFuture<ServiceResponse> answer;
  private final Runnable onCompletion;
  private long deadlineTimer;
  private Runnable removeInterruption = () -> {};
  private boolean completed;

  ServiceAnswer(
      CallerApiDependencies dependencies,
      RoutingContext routing,
      RequestAttributes attributes,
      CompletableFuture<ServiceResponse> answer,
      Runnable onCompletion) {
    this.dependencies = dependencies;
    this.context = dependencies.vertx().getOrCreateContext();
    this.response = routing.response();
    this.attributes = attributes;
    this.answer = answer;
    this.onCompletion = onCompletion;
  }

  void begin() {
    response.closeHandler(ignored -> callerDisconnected());
    long remaining = Math.max(1, attributes.remaining().toMillis());
    deadlineTimer = dependencies.vertx().setTimer(remaining, ignored -> deadlinePassed());
    removeInterruption =
        dependencies.shutdown().registerInterruption(() -> onContext(this::instanceStopped));
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
    interrupt("the deadline passed while the call was running");
  }

  private void instanceStopped() {
    interrupt("this instance stopped while the call was running");
  }

  private void interrupt(String message) {
    if (completed) {
      return;
    }
    finish();
    answer.cancel(true);
    fail(new AgatefieldException(ErrorKind.DEADLINE_EXCEEDED, message));
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
    removeInterruption.run();
    dependencies.vertx().cancelTimer(deadlineTimer);
  }
}
