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
 * Processes one model request, from admission to the end of its answer, in one or more attempts.
 *
 * <p>Invariants: the caller's answer is ended exactly once; only events of the current attempt have
 * an effect; once the request has completed, its dispatch is released and no upstream is still
 * running it. All state is confined to the context of the caller's request.
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
  private Runnable removeInterruption = () -> {};
  private int attemptsWithoutProgress;
  private boolean adapterOrdered;
  private boolean completed;

  /**
   * Creates a request that has not started yet.
   *
   * @param onCompletion called once, when the request has completed and its answer is written
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

  /** Requests admission; called once, on the context. */
  void begin(HttpServerResponse response) {
    response.closeHandler(ignored -> callerDisconnected());
    long remaining = Math.max(1, task.attributes().remaining().toMillis());
    deadlineTimer = dependencies.vertx().setTimer(remaining, ignored -> deadlinePassed());
    removeInterruption =
        dependencies.shutdown().registerInterruption(() -> onContext(this::instanceStopped));
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
      endWithFailure(history.finalFailure(AgatefieldException.from(failure)));
      return;
    }
    dispatch = acquired;
    if (!history.accepts(acquired.version(), answer.writtenTokens())) {
      endWithFailure(DispatchOutcome.CANCELLED, history.finalFailure(history.versionUnavailable()));
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
        task.attributes().requestId(),
        dispatch.attemptNumber(),
        dispatch.upstream().name(),
        answer.writtenTokens(),
        failure.kind(),
        failure.getMessage());
    if (failure instanceof EngineRefusal refusal) {
      handleRefusal(refusal);
      return;
    }
    boolean unreachable = failure.kind() == ErrorKind.NO_UPSTREAM;
    retry(unreachable ? DispatchOutcome.UNREACHABLE : DispatchOutcome.FAILED, failure);
  }

  private void handleRefusal(EngineRefusal refusal) {
    if (refusal.reason() == EngineRefusalReason.INVALID) {
      endWithFailure(DispatchOutcome.CANCELLED, refusal);
    } else if (refusal.reason() == EngineRefusalReason.ADAPTER_NOT_LOADED && !adapterOrdered) {
      adapterOrdered = true;
      loadAdapter();
    } else {
      retry(DispatchOutcome.REJECTED, refusal);
    }
  }

  /**
   * Orders the adapter although the loader considers it loaded: the loader may have used an
   * outdated load report, so the engine's refusal takes precedence.
   */
  private void loadAdapter() {
    Dispatch prepared = dispatch;
    AdapterOrder.send(dependencies, prepared)
        .whenComplete((done, failure) -> onContext(() -> prepared(prepared, failure)));
  }

  private void retry(DispatchOutcome outcome, AgatefieldException failure) {
    attemptsWithoutProgress++;
    boolean mayResume = answer.writtenTokens() == 0 || task.body().isResumable();
    if (attemptsWithoutProgress >= MAXIMUM_ATTEMPTS_WITHOUT_PROGRESS || !mayResume) {
      endWithFailure(outcome, history.finalFailure(failure));
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
    endWithFailure(DispatchOutcome.TIMED_OUT, history.deadlineFailure());
  }

  private void instanceStopped() {
    if (completed) {
      return;
    }
    history.interrupted(call != null, answer.writtenTokens());
    endWithFailure(history.shutdownFailure());
  }

  private void callerDisconnected() {
    if (!completed) {
      releaseResources(DispatchOutcome.CANCELLED);
      onCompletion.run();
    }
  }

  private void endWithFailure(AgatefieldException failure) {
    endWithFailure(DispatchOutcome.CANCELLED, failure);
  }

  private void endWithFailure(DispatchOutcome outcome, AgatefieldException failure) {
    releaseResources(outcome);
    dependencies.metrics().counter("agatefield.callers.errors." + failure.kind().code()).inc();
    answer.fail(failure).onComplete(ignored -> onCompletion.run());
  }

  private void succeeded() {
    releaseResources(DispatchOutcome.SUCCEEDED);
    answer.succeed().onComplete(ignored -> onCompletion.run());
  }

  private void releaseResources(DispatchOutcome outcome) {
    completed = true;
    removeInterruption.run();
    dependencies.vertx().cancelTimer(deadlineTimer);
    acquisition.cancel(true);
    if (call != null && outcome != DispatchOutcome.SUCCEEDED) {
      call.cancel();
    }
    if (dispatch != null) {
      dispatch.finished(outcome);
    }
  }

  /** Receives the answer of one attempt; ignores events once another attempt is the current one. */
  private final class Attempt implements EngineAnswerListener {
    private boolean answered;

    @Override
    public void head(String contentType) {
      // The caller's answer begins with the first part.
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
