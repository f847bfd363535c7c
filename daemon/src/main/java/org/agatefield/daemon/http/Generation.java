package org.agatefield.daemon.http;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.CompletableFuture;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.ModelRequest;
import org.agatefield.engine.EngineAnswerListener;
import org.agatefield.engine.EngineAnswerPart;
import org.agatefield.engine.EngineCall;
import org.agatefield.engine.EngineRefusal;
import org.agatefield.engine.EngineRefusalReason;
import org.agatefield.engine.EngineRequest;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One request to a model, from admission to the end of its answer, over one or more attempts.
 *
 * <p>Invariants: the caller's answer is ended exactly once; only the current attempt is heard; when
 * the request is over, its place is given back and nothing of it runs upstream. All state is
 * confined to the context of the caller's request.
 */
final class Generation {
  private static final Logger LOGGER = LogManager.getLogger(Generation.class);
  private static final int MAXIMUM_ATTEMPTS_WITHOUT_PROGRESS = 6;

  private final CallerApiDependencies dependencies;
  private final Context context;
  private final GenerationTask task;
  private final CallerAnswer answer;
  private final Runnable onCompletion;
  private final AttemptHistory history = new AttemptHistory();
  private CompletableFuture<Dispatch> acquisition;
  private Dispatch dispatch;
  private EngineCall call;
  private Attempt attempt;
  private long deadlineTimer = -1;
  private int attemptsWithoutProgress;
  private boolean adapterOrdered;
  private boolean completed;

  /**
   * Creates a request that has not begun.
   *
   * @param onCompletion called once when the request is completed and its answer is written
   */
  Generation(
      CallerApiDependencies dependencies,
      Context context,
      GenerationTask task,
      CallerAnswer answer,
      Runnable onCompletion) {
    this.dependencies = dependencies;
    this.context = context;
    this.task = task;
    this.answer = answer;
    this.onCompletion = onCompletion;
  }

  /** Asks for admission; called once, on the context. */
  void begin(HttpServerResponse response) {
    response.closeHandler(ignored -> callerDisconnected());
    long remaining = Math.max(1, task.terms().remaining().toMillis());
    deadlineTimer = dependencies.vertx().setTimer(remaining, ignored -> deadlinePassed());
    ModelRequest request = task.toModelRequest();
    acquire(dependencies.dispatcher().acquire(request));
  }

  private void acquire(CompletableFuture<Dispatch> future) {
    acquisition = future;
    future.whenComplete(
        (acquired, failure) -> onContext(() -> acquisitionEnded(acquired, failure)));
  }

  private void onContext(Runnable action) {
    if (Vertx.currentContext() == context) {
      action.run();
    } else {
      context.runOnContext(ignored -> action.run());
    }
  }

  private void acquisitionEnded(Dispatch acquired, Throwable failure) {
    if (completed) {
      if (acquired != null) {
        acquired.finished(DispatchOutcome.CANCELLED);
      }
      return;
    }
    if (failure != null) {
      end(history.finalFailure(AgatefieldException.from(failure)));
      return;
    }
    dispatch = acquired;
    if (!history.accepts(acquired.version(), answer.writtenTokens())) {
      end(DispatchOutcome.CANCELLED, history.finalFailure(history.versionUnavailable()));
      return;
    }
    prepare();
  }

  private void prepare() {
    Dispatch prepared = dispatch;
    if (prepared.adapter().isEmpty()) {
      send();
      return;
    }
    dependencies
        .adapterLoader()
        .ensureLoaded(
            prepared.upstream(), prepared.version().orElseThrow(), prepared.adapter().get())
        .whenComplete((done, failure) -> onContext(() -> prepared(prepared, failure)));
  }

  private void prepared(Dispatch prepared, Throwable failure) {
    if (completed || dispatch != prepared) {
      return;
    }
    if (failure == null) {
      send();
    } else {
      retry(DispatchOutcome.REJECTED, AgatefieldException.from(failure));
    }
  }

  private void send() {
    history.sent(dispatch.version());
    EngineRequest request = task.toEngineRequest(dispatch, answer.writtenTokens());
    attempt = new Attempt();
    call = dependencies.engines().generate(dispatch.upstream().address(), request, attempt);
  }

  private void attemptFailed(AgatefieldException failure) {
    answer.attemptFailed();
    call = null;
    history.failed(failure);
    LOGGER.info(
        "attempt failed request={} attempt={} upstream={} tokens={} kind={} cause=\"{}\"",
        task.terms().requestId(),
        dispatch.attemptNumber(),
        dispatch.upstream().name(),
        answer.writtenTokens(),
        failure.kind(),
        failure.getMessage());
    if (failure instanceof EngineRefusal refusal) {
      refused(refusal);
      return;
    }
    boolean unreachable = failure.kind() == ErrorKind.NO_UPSTREAM;
    retry(unreachable ? DispatchOutcome.UNREACHABLE : DispatchOutcome.FAILED, failure);
  }

  private void refused(EngineRefusal refusal) {
    if (refusal.reason() == EngineRefusalReason.INVALID) {
      end(DispatchOutcome.CANCELLED, refusal);
    } else if (refusal.reason() == EngineRefusalReason.ADAPTER_NOT_LOADED && !adapterOrdered) {
      adapterOrdered = true;
      loadAdapter();
    } else {
      retry(DispatchOutcome.REJECTED, refusal);
    }
  }

  /** The loader may believe a report that is out of date; the engine's word counts. */
  private void loadAdapter() {
    Dispatch prepared = dispatch;
    AdapterOrder.send(dependencies, prepared)
        .whenComplete((done, failure) -> onContext(() -> prepared(prepared, failure)));
  }

  private void retry(DispatchOutcome outcome, AgatefieldException failure) {
    attemptsWithoutProgress++;
    boolean mayResume = answer.writtenTokens() == 0 || task.body().isResumable();
    if (attemptsWithoutProgress >= MAXIMUM_ATTEMPTS_WITHOUT_PROGRESS || !mayResume) {
      end(outcome, history.finalFailure(failure));
      return;
    }
    dependencies.metrics().counter("agatefield.callers.retried-attempts").inc();
    Dispatch failed = dispatch;
    dispatch = null;
    adapterOrdered = false;
    acquire(dependencies.dispatcher().reacquire(failed, outcome));
  }

  private void deadlinePassed() {
    if (completed) {
      return;
    }
    history.interrupted(call != null, answer.writtenTokens());
    end(DispatchOutcome.TIMED_OUT, history.deadlineFailure());
  }

  private void callerDisconnected() {
    if (!completed) {
      finish(DispatchOutcome.CANCELLED);
      onCompletion.run();
    }
  }

  private void end(AgatefieldException failure) {
    end(DispatchOutcome.CANCELLED, failure);
  }

  private void end(DispatchOutcome outcome, AgatefieldException failure) {
    finish(outcome);
    dependencies.metrics().counter("agatefield.callers.errors." + failure.kind().code()).inc();
    answer.fail(failure).onComplete(ignored -> onCompletion.run());
  }

  private void succeeded() {
    finish(DispatchOutcome.SUCCEEDED);
    answer.succeed().onComplete(ignored -> onCompletion.run());
  }

  private void finish(DispatchOutcome outcome) {
    completed = true;
    dependencies.vertx().cancelTimer(deadlineTimer);
    acquisition.cancel(true);
    if (call != null && outcome != DispatchOutcome.SUCCEEDED) {
      call.cancel();
    }
    if (dispatch != null) {
      dispatch.finished(outcome);
    }
  }

  /** Hears the answer of one attempt; nothing is heard once another attempt is the current one. */
  private final class Attempt implements EngineAnswerListener {
    private boolean answered;

    @Override
    public void head(String contentType) {
      // The first part decides when the caller's answer begins.
    }

    @Override
    public void part(EngineAnswerPart part) {
      onContext(() -> handlePart(part));
    }

    @Override
    public void ended() {
      onContext(
          () -> {
            if (isCurrent()) {
              succeeded();
            }
          });
    }

    @Override
    public void failed(AgatefieldException failure) {
      onContext(
          () -> {
            if (isCurrent()) {
              attemptFailed(failure);
            }
          });
    }

    private void handlePart(EngineAnswerPart part) {
      if (!isCurrent()) {
        return;
      }
      if (!answered) {
        answered = true;
        dispatch.responseStarted();
      }
      int before = answer.writtenTokens();
      answer.accept(part);
      if (answer.writtenTokens() > before) {
        attemptsWithoutProgress = 0;
      }
      applyBackpressure();
    }

    private void applyBackpressure() {
      if (answer.isFull() && call != null) {
        EngineCall paused = call;
        paused.pause();
        answer.onDrained(paused::resume);
      }
    }

    private boolean isCurrent() {
      return !completed && attempt == this && dispatch != null;
    }
  }
}
