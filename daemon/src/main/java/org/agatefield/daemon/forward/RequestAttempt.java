package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agatefield.daemon.forward.wire.ResponseKind;
import org.agatefield.daemon.forward.wire.RunnerDialect;
import org.agatefield.forwarding.EventStreamSplitter;
import org.agatefield.forwarding.ForwardedRequest;
import org.agatefield.forwarding.RequestAction;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RunnerEntry;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One sending of a request to one runner, with what it takes from and gives back to the shared
 * tables.
 *
 * <p>Invariant: what it counted at its start is taken back once, however it ends. Confined to one
 * event loop.
 */
final class RequestAttempt implements UpstreamCall.Listener {
  private static final Logger LOGGER = LogManager.getLogger(RequestAttempt.class);

  /** Less time is no use to a runner. */
  static final long SHORTEST_SEND_MILLISECONDS = 20; // two steps of an engine

  private static final long STALL_CHECK_MILLISECONDS = 100; // a fraction of the shortest limit

  private final ForwardingContext parts;
  private final Route route;
  private final String service;
  private final RequestMetadata terms;
  private final long deadline;
  private final ForwardedRequest state;
  private final Consumer<List<RequestAction>> followUp;
  private final int number;
  private final RunnerEntry runner;
  private final UpstreamCall call;
  private final long sentAt = MonotonicClock.milliseconds();
  private final int uncachedTokens;
  private final double tokensAhead;
  private UpstreamResponse head;
  private UpstreamResponse answer;
  private byte[] event;
  private long lastActivity = sentAt;
  private boolean began;
  private boolean released;
  private long stallTimer = -1;

  /** What the attempt is for. Immutable. */
  record Purpose(Route route, String service, RequestMetadata terms, long deadline) {}

  /**
   * Creates an attempt; nothing is sent yet.
   *
   * @param state told of what becomes of it
   * @param followUp carries out what the state then decides
   */
  RequestAttempt(
      ForwardingContext parts,
      Purpose purpose,
      ForwardedRequest state,
      Consumer<List<RequestAction>> followUp,
      int number,
      RunnerEntry runner) {
    this.parts = parts;
    this.route = purpose.route();
    this.service = purpose.service();
    this.terms = purpose.terms();
    this.deadline = purpose.deadline();
    this.state = state;
    this.followUp = followUp;
    this.number = number;
    this.runner = runner;
    this.call =
        new UpstreamCall(
            parts.vertx(),
            parts.delay(),
            parts.answerMemory().share(),
            parts.dialect().runners(),
            terms.id(),
            this);
    this.uncachedTokens =
        terms.prompt().map(prompt -> parts.loads().uncachedTokens(runner.id(), prompt)).orElse(0);
    this.tokensAhead =
        parts.loads().total(runner.id(), sentAt).pendingPrefillTokens() + uncachedTokens;
  }

  void start(HttpServerRequest request, Supplier<MultiMap> headers, Buffer content) {
    parts.loads().sent(runner.id(), uncachedTokens);
    terms.prompt().ifPresent(prompt -> parts.demand().running(service, prompt, runner.id(), 1));
    watchForSilence();
    call.start(parts.client(), runner, request.method(), request.uri(), headers, content);
  }

  /** Returns the head of the stream that has begun. */
  UpstreamResponse streamHead() {
    return head;
  }

  /** Returns the event that came last. */
  byte[] lastEvent() {
    return event;
  }

  /** Returns the whole answer, or the head of a stream that has ended. */
  UpstreamResponse answer() {
    return answer;
  }

  void cancel() {
    call.cancel();
    release();
  }

  @Override
  public boolean isWanted() {
    long left = deadline - MonotonicClock.milliseconds();
    return left >= SHORTEST_SEND_MILLISECONDS && parts.selector().isUsable(runner);
  }

  @Override
  public void withdrawn() {
    release();
    LOGGER.info(
        "request={} attempt={} runner={} withdrawn=true left_ms={}",
        terms.id(),
        number,
        runner.id(),
        deadline - MonotonicClock.milliseconds());
    followUp.accept(state.connectFailed(number));
  }

  @Override
  public void unreached(String cause) {
    release();
    parts.selector().unreachable(runner.id());
    LOGGER.info(
        "request={} attempt={} runner={} unreached=\"{}\"", terms.id(), number, runner.id(), cause);
    followUp.accept(state.connectFailed(number));
  }

  @Override
  public void headReceived(UpstreamResponse received) {
    RunnerDialect dialect = parts.dialect().runners();
    if (dialect.isLeaving(received.headers())) {
      parts.notices().leavingReported(runner);
    }
    dialect
        .backoffMilliseconds(received.status(), received.headers())
        .ifPresent(quiet -> parts.notices().backoffRequested(runner, quiet));
  }

  @Override
  public void rejected(ResponseKind kind, UpstreamResponse rejection) {
    release();
    doubtPresence(kind);
    LOGGER.info(
        "request={} attempt={} runner={} rejected={} status={}",
        terms.id(),
        number,
        runner.id(),
        kind,
        rejection.status());
    followUp.accept(state.rejected(number));
  }

  @Override
  public void failed(String cause, Optional<UpstreamResponse> failure) {
    release();
    parts.selector().failed(runner.id());
    LOGGER.info(
        "request={} attempt={} runner={} failed=\"{}\" began={}",
        terms.id(),
        number,
        runner.id(),
        cause,
        began);
    failure.ifPresent(whole -> answer = whole);
    followUp.accept(state.failed(number, failure.isPresent()));
  }

  @Override
  public void answered(UpstreamResponse whole) {
    begin();
    release();
    parts.selector().succeeded(runner.id());
    answer = whole;
    followUp.accept(state.answered(number));
  }

  @Override
  public void event(UpstreamResponse streamHead, EventStreamSplitter.Event next) {
    if (!next.empty()) {
      lastActivity = MonotonicClock.milliseconds();
      parts.selector().heard(runner.id(), lastActivity);
      begin();
    }
    head = streamHead;
    event = next.bytes();
    followUp.accept(state.event(number, next.id()));
  }

  @Override
  public void ended(UpstreamResponse streamHead) {
    release();
    parts.selector().succeeded(runner.id());
    answer = streamHead;
    followUp.accept(state.ended(number));
  }

  private void begin() {
    if (began) {
      return;
    }
    began = true;
    long milliseconds = MonotonicClock.milliseconds() - sentAt;
    parts.loads().prefillEnded(runner.id(), uncachedTokens);
    parts.selector().began(runner.id(), milliseconds);
    if (terms.prompt().isPresent()) {
      parts.loads().recordPrefillTime(runner.id(), tokensAhead, milliseconds);
      parts.loads().recordCachedParts(runner.id(), terms.prompt().get());
    } else {
      parts.loads().recordRequestTime(runner.id(), milliseconds);
    }
  }

  private void release() {
    if (released) {
      return;
    }
    released = true;
    parts.vertx().cancelTimer(stallTimer);
    if (!began) {
      parts.loads().prefillEnded(runner.id(), uncachedTokens);
    }
    parts.loads().ended(runner.id());
    terms.prompt().ifPresent(prompt -> parts.demand().running(service, prompt, runner.id(), -1));
  }

  /** A runner also turns requests away for a model that it is loading or dropping. */
  private void doubtPresence(ResponseKind kind) {
    terms
        .prompt()
        .ifPresent(
            prompt -> {
              if (kind == ResponseKind.MISDIRECTED && prompt.adapter().isPresent()) {
                parts.presence().denyAdapter(runner.id(), prompt.model(), prompt.adapter().get());
              } else {
                parts
                    .presence()
                    .denyModel(runner.id(), prompt.model(), MonotonicClock.milliseconds());
              }
            });
  }

  private void watchForSilence() {
    long due = lastActivity + stallLimit() - MonotonicClock.milliseconds();
    stallTimer =
        parts
            .vertx()
            .setTimer(
                Math.max(STALL_CHECK_MILLISECONDS, due),
                fired -> {
                  if (released) {
                    return;
                  }
                  long silent = MonotonicClock.milliseconds() - lastActivity;
                  if (silent < stallLimit()) {
                    watchForSilence();
                    return;
                  }
                  stalled(silent);
                });
  }

  private long stallLimit() {
    long runnerSilent = parts.selector().silentMilliseconds(runner.id());
    return StallTimeouts.milliseconds(route, began, deadline - lastActivity, runnerSilent);
  }

  private void stalled(long silent) {
    List<RequestAction> actions = state.stalled(number);
    if (actions.isEmpty()) {
      return;
    }
    parts.selector().failed(runner.id());
    LOGGER.info(
        "request={} attempt={} runner={} silent_ms={} began={}",
        terms.id(),
        number,
        runner.id(),
        silent,
        began);
    followUp.accept(actions);
  }
}
