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
  private final CallerApiParts parts;
  private final Context context;
  private final HttpServerResponse response;
  private final RequestTerms terms;
  private final CompletableFuture<ServiceResponse> answer;
  private final Runnable afterwards;
  private long deadlineTimer;
  private boolean over;

  ServiceAnswer(
      CallerApiParts parts,
      RoutingContext routing,
      RequestTerms terms,
      CompletableFuture<ServiceResponse> answer,
      Runnable afterwards) {
    this.parts = parts;
    this.context = parts.vertx().getOrCreateContext();
    this.response = routing.response();
    this.terms = terms;
    this.answer = answer;
    this.afterwards = afterwards;
  }

  void begin() {
    response.closeHandler(ignored -> callerGone());
    long remaining = Math.max(1, terms.remaining().toMillis());
    deadlineTimer = parts.vertx().setTimer(remaining, ignored -> deadlinePassed());
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
    if (over) {
      return;
    }
    finish();
    if (failure == null) {
      ServiceHandler.write(response, exchange).onComplete(ignored -> afterwards.run());
    } else {
      fail(AgatefieldException.from(failure));
    }
  }

  private void deadlinePassed() {
    if (over) {
      return;
    }
    finish();
    answer.cancel(true);
    fail(
        new AgatefieldException(
            ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while the call was running"));
  }

  private void callerGone() {
    if (!over) {
      finish();
      answer.cancel(true);
      afterwards.run();
    }
  }

  private void fail(AgatefieldException failure) {
    parts.metrics().counter("agatefield.callers.errors." + failure.kind().code()).inc();
    ErrorAnswer.send(response, failure).onComplete(ignored -> afterwards.run());
  }

  private void finish() {
    over = true;
    parts.vertx().cancelTimer(deadlineTimer);
  }
}
