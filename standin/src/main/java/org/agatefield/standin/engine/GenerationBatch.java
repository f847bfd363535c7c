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
 * The continuous batch: each step gives every running request its next token.
 *
 * <p>Invariant: no more requests run at once than the batch holds; waiting ones are taken by
 * priority, then in the order of arrival. A request whose reader is slow skips steps. Confined to
 * the event loop of the engine.
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

  /** Ends the requests that match without an answer. */
  void cutAll(Predicate<RunningRequest> condition) {
    for (RunningRequest request : all()) {
      if (condition.test(request)) {
        cut(request);
      }
    }
  }

  /** Stops work on a request. */
  void stop(String requestId) {
    all().stream().filter(each -> each.requestId.equals(requestId)).forEach(this::cut);
  }

  private List<RunningRequest> all() {
    List<RunningRequest> all = new ArrayList<>(running);
    all.addAll(waiting);
    return all;
  }

  private void cancel(RunningRequest request) {
    if (!request.over) {
      request.over = true;
      cancelled++;
    }
  }

  private void cut(RunningRequest request) {
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
    running.removeIf(request -> request.over);
    waiting.removeIf(request -> request.over);
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
    if (request.over || (request.message.stream() && request.response.writeQueueFull())) {
      return;
    }
    if (request.prefillSteps > 0) {
      request.prefillSteps--;
      return;
    }
    begin(request);
    if (request.isComplete()) {
      finish(request);
      return;
    }
    if (isStalled(request)) {
      return;
    }
    request.next++;
    if (request.message.stream()) {
      request.response.write(tokenEvent(request));
    }
    breakOff(request);
    if (!request.over && request.isComplete()) {
      finish(request);
    }
  }

  private void begin(RunningRequest request) {
    if (request.started || !request.message.stream()) {
      return;
    }
    request.started = true;
    if (request.message.chat() && request.next == 0) {
      request.response.write(AnswerFormat.roleEvent(request));
    }
  }

  private boolean isStalled(RunningRequest request) {
    int stallAfter = faults.stallAfterTokens();
    return request.faulty && stallAfter > 0 && request.next >= stallAfter;
  }

  private void breakOff(RunningRequest request) {
    if (!request.faulty) {
      return;
    }
    if (faults.resetAfterTokens() > 0 && request.next >= faults.resetAfterTokens()) {
      request.over = true;
      closeConnection(request.response);
    } else if (faults.endWithoutDoneAfterTokens() > 0
        && request.next >= faults.endWithoutDoneAfterTokens()) {
      request.over = true;
      request.response.end();
    }
  }

  private void finish(RunningRequest request) {
    request.over = true;
    RunningRequest source = source(request);
    if (request.message.stream()) {
      request.response.write(AnswerFormat.finishEvent(source));
      if (request.message.includeUsage()) {
        request.response.write(AnswerFormat.usageEvent(source));
      }
      request.response.end(AnswerFormat.endMarker());
    } else {
      request.response.end(AnswerFormat.whole(source));
    }
    lastFinished = Optional.of(request);
  }

  private Buffer tokenEvent(RunningRequest request) {
    return AnswerFormat.tokenEvent(source(request));
  }

  /** Returns the request whose answer is sent; another one if answers are to be crossed. */
  private RunningRequest source(RunningRequest request) {
    if (!faults.crossAnswers() || !request.faulty) {
      return request;
    }
    return running.stream()
        .filter(other -> other != request && !other.over)
        .findFirst()
        .or(() -> lastFinished)
        .orElse(request);
  }
}
