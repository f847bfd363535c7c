package org.agatefield.standin.engine;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Runs generations in a continuous batch: each step generates one token for every running request.
 *
 * <p>Invariant: the number of running requests never exceeds the batch size. Waiting requests start
 * by priority, then in order of arrival. A request skips steps while its write queue is full.
 * Confined to the event loop of the engine.
 */
final class GenerationBatch {
  private final Vertx vertx;
  private final EngineStandinOptions options;
  private final List<RunningRequest> running = new ArrayList<>();
  private final List<RunningRequest> waiting = new ArrayList<>();
  private Optional<RunningRequest> lastFinished = Optional.empty();
  private EngineFaults faults = EngineFaults.NONE;
  private boolean stepping;
  private long stepNumber;
  private long cancelled;

  GenerationBatch(Vertx vertx, EngineStandinOptions options) {
    this.vertx = vertx;
    this.options = options;
  }

  void setFaults(EngineFaults newFaults) {
    faults = newFaults;
  }

  int runningCount() {
    return running.size();
  }

  int waitingCount() {
    return waiting.size();
  }

  long cancelledCount() {
    return cancelled;
  }

  void add(RunningRequest request) {
    request.response.closeHandler(ignored -> cancel(request));
    request.response.exceptionHandler(ignored -> cancel(request));
    waiting.add(request);
    waiting.sort(Comparator.comparingInt(each -> each.message.priority()));
    schedule();
  }

  /** Cancels the matching requests and resets their connections. */
  void abortMatching(Predicate<RunningRequest> condition) {
    for (RunningRequest request : all()) {
      if (condition.test(request)) {
        abort(request);
      }
    }
  }

  /** Cancels a request and resets its connection. */
  void stop(String requestId) {
    all().stream().filter(each -> each.requestId.equals(requestId)).forEach(this::abort);
  }

  private List<RunningRequest> all() {
    List<RunningRequest> all = new ArrayList<>(running);
    all.addAll(waiting);
    return all;
  }

  private void cancel(RunningRequest request) {
    if (!request.ended) {
      request.ended = true;
      cancelled++;
    }
  }

  private void abort(RunningRequest request) {
    cancel(request);
    closeConnection(request.response);
  }

  private static void closeConnection(HttpServerResponse response) {
    response.reset();
  }

  private void schedule() {
    if (!stepping) {
      stepping = true;
      vertx.setTimer(Math.max(1, options.tokenMilliseconds()), ignored -> step());
    }
  }

  private void step() {
    stepping = false;
    stepNumber++;
    running.removeIf(request -> request.ended);
    waiting.removeIf(request -> request.ended);
    while (running.size() < options.batch() && !waiting.isEmpty()) {
      running.add(waiting.remove(0));
    }
    if (faults.slow() <= 1 || stepNumber % faults.slow() == 0) {
      for (RunningRequest request : List.copyOf(running)) {
        advance(request);
      }
    }
    if (!running.isEmpty() || !waiting.isEmpty()) {
      schedule();
    }
  }

  private void advance(RunningRequest request) {
    if (request.ended || (request.message.stream() && request.response.writeQueueFull())) {
      return;
    }
    if (request.prefillSteps > 0) {
      request.prefillSteps--;
      return;
    }
    startStream(request);
    if (request.isComplete()) {
      finish(request);
      return;
    }
    if (isStalled(request)) {
      return;
    }
    request.nextToken++;
    if (request.message.stream()) {
      request.response.write(tokenEvent(request));
    }
    applyStreamFaults(request);
    if (!request.ended && request.isComplete()) {
      finish(request);
    }
  }

  private void startStream(RunningRequest request) {
    if (request.started || !request.message.stream()) {
      return;
    }
    request.started = true;
    if (request.message.chat() && request.nextToken == 0) {
      request.response.write(AnswerFormat.roleEvent(request));
    }
  }

  private boolean isStalled(RunningRequest request) {
    int stallAfter = faults.stallAfterTokens();
    return request.faulty && stallAfter > 0 && request.nextToken >= stallAfter;
  }

  private void applyStreamFaults(RunningRequest request) {
    if (!request.faulty) {
      return;
    }
    if (faults.resetAfterTokens() > 0 && request.nextToken >= faults.resetAfterTokens()) {
      request.ended = true;
      closeConnection(request.response);
    } else if (faults.endWithoutDoneAfterTokens() > 0
        && request.nextToken >= faults.endWithoutDoneAfterTokens()) {
      request.ended = true;
      request.response.end();
    }
  }

  private void finish(RunningRequest request) {
    request.ended = true;
    RunningRequest source = source(request);
    if (request.message.stream()) {
      request.response.write(AnswerFormat.finishEvent(source));
      if (request.message.includeUsage()) {
        request.response.write(AnswerFormat.usageEvent(source));
      }
      request.response.end(AnswerFormat.endMarker());
    } else {
      request.response.end(AnswerFormat.completeAnswer(source));
    }
    lastFinished = Optional.of(request);
  }

  private Buffer tokenEvent(RunningRequest request) {
    return AnswerFormat.tokenEvent(source(request));
  }

  /** Returns the request whose answer is sent; a different one if answers are crossed. */
  private RunningRequest source(RunningRequest request) {
    if (!faults.crossAnswers() || !request.faulty) {
      return request;
    }
    return running.stream()
        .filter(other -> other != request && !other.ended)
        .findFirst()
        .or(() -> lastFinished)
        .orElse(request);
  }
}
