package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.agatefield.cost.AttemptWork;
import org.agatefield.daemon.forward.wire.ResponseKind;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.daemon.quarantine.RequestQuarantine;
import org.agatefield.daemon.quarantine.UpstreamProcess;
import org.agatefield.forwarding.EventStreamSplitter;
import org.agatefield.forwarding.ForwardedRequest;
import org.agatefield.forwarding.RequestAction;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.forwarding.RequestTraits;
import org.agatefield.forwarding.RequestWork;
import org.agatefield.forwarding.RetryMode;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RunnerEntry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Sends a request to one runner once and records its load, demand and outcome in the shared tables.
 *
 * <p>Invariant: the load and demand counted at the start are released exactly once, however the
 * attempt ends. Confined to one event loop.
 */
final class RequestAttempt implements UpstreamCall.Listener {
  private static final Logger LOGGER = LogManager.getLogger(RequestAttempt.class);

  /** Minimum time before the deadline at which a request is still sent to a runner. */
  static final long MINIMUM_SEND_MILLISECONDS = 20; // Two engine steps.

  // A fraction of the shortest stall timeout.
  private static final long STALL_CHECK_MILLISECONDS = 100;

  private final ForwardingContext context;
  private final Route route;
  private final String service;
  private final RequestMetadata terms;
  private final RequestTraits traits;
  private final long deadline;
  private final ForwardedRequest state;
  private final Owner owner;
  private final int attemptNumber;
  private final RunnerEntry runner;
  private final UpstreamCall call;
  private final long sentAt = MonotonicClock.milliseconds();
  private final RequestWork work;
  private AttemptWork attemptWork;
  private int events;
  private UpstreamResponse head;
  private UpstreamResponse completeResponse;
  private byte[] event;
  private long lastActivity = sentAt;
  private boolean began;
  private long beganAt;
  private boolean survivalRecorded;
  private boolean released;
  private boolean stalled;
  private long stallTimer = -1;

  /** Continues the request after an event of the attempt. */
  interface Owner {
    /** Executes the actions that the state has decided on. */
    void perform(List<RequestAction> actions);

    /** Passes on the events of a stream that were read together. */
    void eventsRead();

    /** Ends the request because an event of the attempt could not be handled. */
    void stepFailed(RuntimeException exception);
  }

  /** The request that an attempt serves. Immutable. */
  record ServedRequest(
      Route route,
      String service,
      RequestMetadata terms,
      RequestTraits traits,
      RequestWork work,
      long deadline) {}

  /**
   * Creates an attempt without sending anything.
   *
   * @param state receives the outcome of the attempt
   */
  RequestAttempt(
      ForwardingContext context,
      ServedRequest served,
      ForwardedRequest state,
      Owner owner,
      int attemptNumber,
      RunnerEntry runner) {
    this.context = context;
    this.route = served.route();
    this.service = served.service();
    this.terms = served.terms();
    this.traits = served.traits();
    this.work = served.work();
    this.deadline = served.deadline();
    this.state = state;
    this.owner = owner;
    this.attemptNumber = attemptNumber;
    this.runner = runner;
    this.call =
        new UpstreamCall(
            context.vertx(),
            context.delay(),
            context.responseMemory().share(),
            context.unwritten(),
            context.dialect().runners(),
            terms.id(),
            this);
  }

  void start(HttpMethod method, String target, Supplier<MultiMap> headers, Buffer content) {
    context
        .limits()
        .requestsPerSecond(runner)
        .ifPresent(
            limit ->
                LOGGER.info(
                    "request={} attempt={} runner={} limit_per_second={} sent=true",
                    terms.id(),
                    attemptNumber,
                    runner.id(),
                    limit));
    attemptWork =
        context.estimates().sent(context.selector().place(runner, work, sentAt), work, sentAt);
    terms.prompt().ifPresent(prompt -> context.demand().running(service, prompt, runner.id(), 1));
    scheduleStallCheck();
    call.start(context.client(), runner, method, target, headers, content);
  }

  /** Returns the head of the stream in progress. */
  UpstreamResponse streamHead() {
    return head;
  }

  /** Returns the most recent event. */
  byte[] lastEvent() {
    return event;
  }

  /** Returns the complete response, or the head of a completed stream. */
  UpstreamResponse response() {
    return completeResponse;
  }

  /** Returns what was expected of the attempt and what came of it; empty before it started. */
  Optional<AttemptWork> work() {
    return Optional.ofNullable(attemptWork);
  }

  /** Returns the number of tokens that the runner has written, as far as it is known. */
  double writtenTokens() {
    return context.estimates().outputTokens(events);
  }

  void cancel() {
    call.cancel();
    release();
  }

  /** Lets the runner wait until the caller has read what was written. */
  void pauseForCaller() {
    call.pause(ReadPauses.Reason.CALLER);
  }

  void resumeForCaller() {
    call.resume(ReadPauses.Reason.CALLER);
  }

  @Override
  public boolean shouldSend() {
    long now = MonotonicClock.milliseconds();
    return deadline - now >= MINIMUM_SEND_MILLISECONDS
        && context.selector().isUsable(runner)
        && (state.nextSendIsRepeat() || context.stop().outlasts(route, deadline, now))
        && context.quarantine().quarantinedUntil(traits.ids()).isEmpty();
  }

  @Override
  public void withdrawn() {
    release();
    LOGGER.info(
        "request={} attempt={} runner={} withdrawn=true left_ms={}",
        terms.id(),
        attemptNumber,
        runner.id(),
        deadline - MonotonicClock.milliseconds());
    owner.perform(state.connectFailed(attemptNumber));
  }

  @Override
  public void connectFailed(String cause) {
    release();
    context.selector().unreachable(runner.id());
    LOGGER.info(
        "request={} attempt={} runner={} unreached=\"{}\"",
        terms.id(),
        attemptNumber,
        runner.id(),
        cause);
    owner.perform(state.connectFailed(attemptNumber));
  }

  @Override
  public void headReceived(ResponseKind kind, UpstreamResponse received) {
    RunnerDialect dialect = context.dialect().runners();
    if (dialect.isLeaving(received.headers())) {
      context.availability().leavingReported(runner);
    }
    context.limits().responseReceived(runner, kind, dialect.rateLimit(received.headers()), sentAt);
    dialect
        .backoffMilliseconds(received.status(), received.headers())
        .ifPresent(backoff -> context.availability().backoffRequested(runner, backoff));
  }

  @Override
  public void rejected(ResponseKind kind, UpstreamResponse rejection) {
    release();
    markMissing(kind);
    LOGGER.info(
        "request={} attempt={} runner={} rejected={} status={}",
        terms.id(),
        attemptNumber,
        runner.id(),
        kind,
        rejection.status());
    owner.perform(state.rejected(attemptNumber));
  }

  @Override
  public void disconnected(String cause) {
    if (outlivedStart()) {
      recordSurvival();
      failed("broken off: " + cause, Optional.empty());
      return;
    }
    release();
    context.selector().failed(runner.id());
    // The choice of the next runner depends on whether this one has crashed.
    context
        .crashes()
        .disconnected(
            process(), traits.ids(), () -> attemptFailed("broken off: " + cause, Optional.empty()));
  }

  private UpstreamProcess process() {
    return new UpstreamProcess(
        runner.id(),
        runner.startTimeMilliseconds(),
        runner.address(),
        context.selector().isLeaving(runner));
  }

  private void recordSurvival() {
    if (!survivalRecorded) {
      survivalRecorded = true;
      context.quarantine().survived(traits.ids());
    }
  }

  /** Returns whether the runner continued to run for a while after it had begun its response. */
  private boolean outlivedStart() {
    return began
        && MonotonicClock.milliseconds() - beganAt >= RequestQuarantine.SURVIVAL_MILLISECONDS;
  }

  @Override
  public void failed(String cause, Optional<UpstreamResponse> failure) {
    release();
    context.selector().failed(runner.id());
    attemptFailed(cause, failure);
  }

  private void attemptFailed(String cause, Optional<UpstreamResponse> failure) {
    LOGGER.info(
        "request={} attempt={} runner={} failed=\"{}\" began={} traits={}",
        terms.id(),
        attemptNumber,
        runner.id(),
        cause,
        began,
        traits.ids());
    failure.ifPresent(response -> completeResponse = response);
    owner.perform(state.failed(attemptNumber, failure.isPresent()));
  }

  @Override
  public void responseReceived(UpstreamResponse response) {
    markStarted();
    recordSurvival();
    release();
    context.selector().succeeded(runner.id());
    completeResponse = response;
    owner.perform(state.answered(attemptNumber));
  }

  @Override
  public void eventReceived(UpstreamResponse streamHead, EventStreamSplitter.Event next) {
    if (!next.empty()) {
      lastActivity = MonotonicClock.milliseconds();
      stalled = false;
      events++;
      context.selector().dataReceived(runner.id(), lastActivity);
      markStarted();
      if (outlivedStart()) {
        recordSurvival();
      }
    }
    head = streamHead;
    event = next.bytes();
    owner.perform(
        next.empty() ? state.comment(attemptNumber) : state.event(attemptNumber, next.id()));
  }

  @Override
  public void eventsRead() {
    owner.eventsRead();
  }

  @Override
  public void streamEnded(UpstreamResponse streamHead) {
    if (began) {
      recordSurvival();
    }
    release();
    context.selector().succeeded(runner.id());
    if (terms.lastEventId().isEmpty() && attemptNumber == 1) { // Others begin in the middle.
      context.estimates().outputCompleted(work, events);
    }
    completeResponse = streamHead;
    owner.perform(state.ended(attemptNumber));
  }

  @Override
  public void handlingFailed(RuntimeException exception) {
    release();
    owner.stepFailed(exception);
  }

  private void markStarted() {
    if (began) {
      return;
    }
    began = true;
    beganAt = MonotonicClock.milliseconds();
    long milliseconds = beganAt - sentAt;
    context.selector().responseStarted(runner.id(), milliseconds);
    if (attemptWork != null) {
      boolean near = context.selector().isNear(runner);
      context.estimates().firstEvent(attemptWork, work, near, beganAt);
      context.metrics().estimated(attemptWork.expectation().firstEventMilliseconds(), milliseconds);
    }
  }

  private void release() {
    if (released) {
      return;
    }
    released = true;
    context.vertx().cancelTimer(stallTimer);
    if (attemptWork == null) {
      return; // Nothing was counted for an attempt that has not started.
    }
    context.estimates().ended(attemptWork);
    terms.prompt().ifPresent(prompt -> context.demand().running(service, prompt, runner.id(), -1));
  }

  /**
   * Marks the model or adapter as possibly absent. Runners also reject requests for models that
   * they are loading or unloading.
   */
  private void markMissing(ResponseKind kind) {
    terms
        .prompt()
        .ifPresent(
            prompt -> {
              if (kind == ResponseKind.MISDIRECTED && prompt.adapter().isPresent()) {
                context
                    .presence()
                    .markAdapterMissing(runner.id(), prompt.model(), prompt.adapter().get());
              } else {
                context
                    .presence()
                    .markModelMissing(runner.id(), prompt.model(), MonotonicClock.milliseconds());
              }
            });
  }

  private void scheduleStallCheck() {
    if (route.retryMode() == RetryMode.NEVER) {
      return;
    }
    long due = lastActivity + stallTimeout() - MonotonicClock.milliseconds();
    stallTimer =
        context
            .vertx()
            .setTimer(
                Math.max(STALL_CHECK_MILLISECONDS, due),
                fired -> {
                  try {
                    checkStall();
                  } catch (RuntimeException exception) {
                    handlingFailed(exception);
                  }
                });
  }

  private void checkStall() {
    if (released) {
      return;
    }
    if (call.isPaused()) {
      lastActivity = MonotonicClock.milliseconds(); // The wait is not the runner's.
    }
    long silent = MonotonicClock.milliseconds() - lastActivity;
    if (silent < stallTimeout()) {
      scheduleStallCheck();
      return;
    }
    stalled(silent);
  }

  private long stallTimeout() {
    long runnerSilent = context.selector().silentMilliseconds(runner.id());
    return StallTimeouts.milliseconds(route, began, deadline - lastActivity, runnerSilent);
  }

  /** Looks for another runner until one replaces this attempt or the silent runner continues. */
  private void stalled(long silent) {
    List<RequestAction> actions = state.stalled(attemptNumber);
    if (!actions.isEmpty() && !stalled) {
      stalled = true;
      context.metrics().stalled();
      context.selector().failed(runner.id());
      if (!began) {
        context.crashes().stalled(process(), traits.ids());
      }
      LOGGER.info(
          "request={} attempt={} runner={} silent_ms={} began={}",
          terms.id(),
          attemptNumber,
          runner.id(),
          silent,
          began);
    }
    scheduleStallCheck();
    owner.perform(actions);
  }
}
