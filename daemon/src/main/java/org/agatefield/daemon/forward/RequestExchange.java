package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.cost.AttemptWork;
import org.agatefield.daemon.forward.wire.SendTerms;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.ForwardedRequest;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.GenerationParameters;
import org.agatefield.forwarding.RefusalReason;
import org.agatefield.forwarding.RequestAction;
import org.agatefield.forwarding.RequestFingerprint;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.forwarding.RequestTraits;
import org.agatefield.forwarding.RequestWork;
import org.agatefield.forwarding.RetryDelay;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RunnerCandidate;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.SendPolicy;
import org.agatefield.forwarding.TokenQuota;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Executes the actions that a {@link ForwardedRequest} decides on for one request of a caller:
 * selects a runner, sends, cancels and responds.
 *
 * <p>Invariants: the request gets one final action, also if a step fails; its place among the open
 * and the waiting requests is given up with it. Confined to one event loop.
 */
final class RequestExchange {
  private static final Logger LOGGER = LogManager.getLogger(RequestExchange.class);
  private static final long RUNNER_RESTART_MILLISECONDS = 3_000;
  private static final long ADAPTER_RETRY_MILLISECONDS = 80; // Covers several adapter loads.
  // Most holder failures are resolved within this time.
  private static final long MAXIMUM_QUOTA_WAIT_MILLISECONDS = 1_500;
  // The rest of the time is left for the response.
  private static final double QUOTA_TIME_SHARE = 0.4;
  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final long MAXIMUM_RETRY_MILLISECONDS = 60_000; // Low limits give longer times.
  private static final int HIGHEST_PRIORITY = 0;
  private static final int LOWEST_PRIORITY = 9;

  private final ForwardingContext context;
  private final HttpServerRequest request;
  private final CallerResponse response;
  private final Route route;
  private final String service;
  private final RequestMetadata terms;
  private final RequestFingerprint fingerprint;
  private final CrashRisk risk;
  private final String target;
  private final Buffer content;
  private final RequestTiming timing;
  private final ForwardingTable table;
  private final Optional<ClientAccount> account;
  private final ForwardedRequest state;
  private final HeldRequest held;
  private Set<String> excluded = Set.of();
  private RequestWork work;
  private RequestAttempt attempt;
  private RunnerEntry chosenRunner;
  private boolean returnScheduled;
  private long deadlineTimer = -1;
  private long retryAfter;
  private boolean quotaTaken;
  private int sends;

  /**
   * The inputs of a request that has been admitted. Immutable.
   *
   * @param account the client account that the request belongs to; empty if the route needs none
   * @param target the path and query to send to a runner
   * @param bodyDigest the digest of its whole body
   */
  record AdmittedRequest(
      ForwardingTable table,
      Route route,
      Optional<ClientAccount> account,
      RequestMetadata terms,
      String target,
      RequestFingerprint.BodyDigest bodyDigest) {}

  RequestExchange(
      ForwardingContext context,
      HttpServerRequest request,
      AdmittedRequest admitted,
      Buffer content,
      long arrivedAt,
      double randomValue) {
    this.context = context;
    this.request = request;
    this.table = admitted.table();
    this.route = admitted.route();
    this.account = admitted.account();
    this.service = route.serviceFor(randomValue);
    this.terms = admitted.terms();
    this.target = admitted.target();
    this.content = content;
    this.fingerprint =
        RequestFingerprint.of(
            request.method().name(),
            request.uri(),
            account.map(ClientAccount::name),
            admitted.bodyDigest());
    this.risk = new CrashRisk(context, service, RequestTraits.of(terms.prompt(), fingerprint));
    this.timing = new RequestTiming(route, terms.deadlineMilliseconds(), arrivedAt);
    this.response =
        new CallerResponse(request, context, terms.id(), timing.deadline(), this::callerHasRead);
    this.state =
        new ForwardedRequest(
            route.retryMode(),
            route.maximumAttempts(),
            terms.lastEventId(),
            new ServiceRetryAllowance(context.budgets(), service));
    RoomClaim claim =
        context.room().claim(service, route, priority(), terms, account, timing, arrivedAt);
    this.held = new HeldRequest(context, terms.id(), claim, terms.prompt(), this::seekAgain);
  }

  /** Refuses the request with {@code SHUTTING_DOWN} if nothing has been sent yet. */
  void refuseUnsent() {
    held.release();
    perform(state.notChosen(RefusalReason.SHUTTING_DOWN));
  }

  /**
   * Refuses the request if nothing has been sent yet and this instance may stop before its answer.
   *
   * @return whether the request was refused
   */
  boolean refuseIfTooLate() {
    boolean tooLate =
        !state.mayHaveRun()
            && !state.isOver()
            && !context.stop().outlasts(route, timing.deadline(), MonotonicClock.milliseconds());
    if (tooLate) {
      refuseUnsent();
    }
    return tooLate;
  }

  /** Ends the request as if its deadline had expired, because this instance is terminating. */
  void expire() {
    perform(state.expired());
  }

  void start() {
    endOnError(this::admit);
  }

  private void admit() {
    context.exchanges().add(this);
    request.response().closeHandler(closed -> perform(state.callerGone()));
    request.response().exceptionHandler(cause -> perform(state.callerGone()));
    deadlineTimer =
        context
            .vertx()
            .setTimer(
                Math.max(1, timing.remainingMilliseconds(MonotonicClock.milliseconds())),
                fired -> perform(state.expired()));
    context.budgets().requested(service);
    if (refuseQuarantined()) {
      return;
    }
    Optional<TokenQuota> quota = account.flatMap(ClientAccount::quota);
    if (quota.isEmpty()) {
      startForwarding();
      return;
    }
    long quotaTimeout =
        Math.min(
            MAXIMUM_QUOTA_WAIT_MILLISECONDS, (long) (QUOTA_TIME_SHARE * timing.waitMilliseconds()));
    context
        .quotas()
        .decide(account.get(), quota.get().cost(terms), quotaTimeout, this::quotaDecided);
  }

  private void quotaDecided(QuotaPolicy.Decision decision) {
    endOnError(() -> applyQuota(decision));
  }

  private void applyQuota(QuotaPolicy.Decision decision) {
    if (state.isOver()) {
      if (decision instanceof QuotaPolicy.Decision.Granted) {
        refundQuota();
      }
      return;
    }
    if (decision instanceof QuotaPolicy.Decision.Granted) {
      quotaTaken = true;
      startForwarding();
    } else if (decision instanceof QuotaPolicy.Decision.Exhausted exhausted) {
      retryAfter = exhausted.waitMilliseconds();
      perform(state.notChosen(RefusalReason.OVER_QUOTA));
    } else {
      perform(state.notChosen(RefusalReason.QUOTA_UNKNOWN));
    }
  }

  private void refundQuota() {
    account
        .flatMap(ClientAccount::quota)
        .ifPresent(quota -> context.quotas().refund(account.get(), quota.cost(terms)));
  }

  private void startForwarding() {
    terms
        .prompt()
        .filter(prompt -> table.hasModel(service, prompt.model()))
        .ifPresent(prompt -> context.demand().arrived(service, prompt, priority()));
    perform(state.start());
  }

  private int priority() {
    return account
        .map(ClientAccount::priority)
        .filter(OptionalInt::isPresent)
        .map(OptionalInt::getAsInt)
        .orElse(route.priority());
  }

  private void seekAgain() {
    endOnError(
        () -> {
          if (state.seeksRunner()) {
            selectRunner();
          }
        });
  }

  private void perform(List<RequestAction> actions) {
    endOnError(() -> actions.forEach(this::perform));
  }

  private void perform(RequestAction action) {
    if (action instanceof RequestAction.Choose choice) {
      excluded = choice.excluded();
      timing.seeksRunner(MonotonicClock.milliseconds());
      selectRunner();
    } else if (action instanceof RequestAction.Send send) {
      send(send);
    } else if (action instanceof RequestAction.Cancel) {
      cancelAttempt();
    } else if (action instanceof RequestAction.BeginStream) {
      timing.eventSent(MonotonicClock.milliseconds());
      context.waiting().roomChanged();
      response.beginStream(attempt.streamHead(), attempt.lastEvent());
    } else if (action instanceof RequestAction.ContinueStream) {
      timing.eventSent(MonotonicClock.milliseconds());
      response.continueStream(attempt.lastEvent());
    } else if (action instanceof RequestAction.Final finalAction) {
      finish(finalAction);
    }
  }

  private void flush() {
    response.flush();
    if (response.isFull() && !state.isOver()) {
      attempt.pauseForCaller();
    }
  }

  private void callerHasRead() {
    if (attempt != null) { // Refusals are written without one.
      endOnError(attempt::resumeForCaller);
    }
  }

  private void cancelAttempt() {
    if (attempt != null) { // The attempt may be what could not be created.
      attempt.cancel();
    }
  }

  /** Runs a step of the request; if it fails, ends the request, which nothing else would do. */
  private void endOnError(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException exception) {
      stepFailed(exception);
    }
  }

  private void stepFailed(RuntimeException exception) {
    LOGGER.error("request={} runner={} step failed", terms.id(), runnerId(), exception);
    context.metrics().internalError();
    try {
      state.internalError().forEach(this::perform);
    } catch (RuntimeException again) {
      LOGGER.error("request={} cannot be ended as usual", terms.id(), again);
    }
    if (!request.response().ended()) {
      abandon(); // The final action is the step that failed.
    }
  }

  /** Closes the connection, so that the caller does not wait for a response. */
  private void abandon() {
    context.vertx().cancelTimer(deadlineTimer);
    context.exchanges().remove(this);
    response.abort();
  }

  private String runnerId() {
    return chosenRunner == null ? "" : chosenRunner.id();
  }

  /** Refuses the request if it has a trait that crashes runners. */
  private boolean refuseQuarantined() {
    boolean quarantined = isQuarantined();
    if (quarantined) {
      perform(state.notChosen(RefusalReason.REQUEST_CRASHES_RUNNERS));
    }
    return quarantined;
  }

  /** Refuses the request if it may crash the only runner that is left of its service. */
  private boolean spareLastRunner() {
    boolean spare = risk.threatensLastRunner();
    if (spare) {
      retryAfter = RUNNER_RESTART_MILLISECONDS;
      perform(state.notChosen(RefusalReason.MAY_CRASH_LAST_RUNNER));
    }
    return spare;
  }

  /** Ends the request, sent or not, if one of its traits has just been quarantined. */
  void endQuarantined() {
    if (isQuarantined()) {
      perform(state.forbidden(RefusalReason.REQUEST_CRASHES_RUNNERS));
    }
  }

  /** Returns whether a trait is quarantined; callers may retry when the quarantine ends. */
  private boolean isQuarantined() {
    OptionalLong until = risk.quarantinedUntil();
    until.ifPresent(end -> retryAfter = Math.max(0, end - MonotonicClock.milliseconds()));
    return until.isPresent();
  }

  private void selectRunner() {
    if (refuseQuarantined() || refuseIfTooLate() || spareLastRunner()) {
      return;
    }
    long now = MonotonicClock.milliseconds();
    RunnerSelector.Selection selection = context.selector().select(service, work(), excluded, now);
    if (selection instanceof RunnerSelector.Selection.Found found) {
      sendOrWait(found, now);
    } else if (selection instanceof RunnerSelector.Selection.NoRunner) {
      refuseOrWait(RefusalReason.NO_RUNNER);
    } else if (selection instanceof RunnerSelector.Selection.AllBackingOff backingOff) {
      waitForBackoff(backingOff.untilMilliseconds(), now);
    } else if (selection instanceof RunnerSelector.Selection.AllLimited limited) {
      waitForPermit(limited, now);
    } else if (selection instanceof RunnerSelector.Selection.ModelAbsent) {
      waitForModel(now);
    } else if (state.isReplacing()) {
      perform(state.notChosen(RefusalReason.NO_RUNNER));
    } else {
      excluded = Set.of();
      held.hold();
    }
  }

  /** Returns what the request is likely to cost, as estimated when a runner was first sought. */
  private RequestWork work() {
    if (work == null) {
      work =
          context
              .estimates()
              .work(
                  route.name(),
                  account.map(ClientAccount::name).orElse(""),
                  terms.prompt(),
                  content.length());
    }
    return work;
  }

  /** Queues the request if a runner accepts requests again early enough; otherwise refuses it. */
  private void waitForBackoff(long until, long now) {
    if (timing.isInTime(until)) {
      held.hold();
      return;
    }
    retryAfter = Math.max(0, until - now);
    perform(state.notChosen(RefusalReason.OVERLOADED));
  }

  /**
   * Queues the request if a permit is expected in time, after those for the requests that already
   * wait for one, or if another runner may load the model in time; otherwise refuses it.
   */
  private void waitForPermit(RunnerSelector.Selection.AllLimited limited, long now) {
    String key = service + '/' + terms.prompt().map(GenerationParameters::model).orElse("");
    long expectedAt = limited.untilMilliseconds();
    if (held.permitKey().isEmpty()) { // A request that already waits keeps its place.
      long ahead = context.waiting().countWaitingForPermit(key);
      expectedAt += (long) (MILLISECONDS_PER_SECOND * ahead / limited.permitsPerSecond());
    }
    expectedAt = Math.min(expectedAt, expectedReplicaAt(now));
    if (timing.isInTime(expectedAt)) {
      held.holdForPermit(key);
      return;
    }
    retryAfter = Math.min(MAXIMUM_RETRY_MILLISECONDS, Math.max(0, expectedAt - now));
    perform(state.notChosen(RefusalReason.OVERLOADED));
  }

  /** Returns when another runner may have loaded the model, in monotonic milliseconds. */
  private long expectedReplicaAt(long now) {
    if (terms.prompt().isEmpty()) {
      return Long.MAX_VALUE;
    }
    long readyAt =
        context.presence().expectedAt(terms.prompt().get().model(), now).orElse(timing.plannedBy());
    return readyAt > now ? readyAt : Long.MAX_VALUE;
  }

  /**
   * Queues the request if its model is expected to be loaded in time, or if its load may still be
   * planned; otherwise refuses it.
   */
  private void waitForModel(long now) {
    String model = terms.prompt().orElseThrow().model();
    OptionalLong expectedAt = context.presence().expectedAt(model, now);
    long readyAt = expectedAt.orElse(timing.plannedBy());
    boolean inTime = timing.isInTime(readyAt) && readyAt > now;
    boolean overdue = expectedAt.isPresent() && readyAt <= now;
    if (inTime || overdue) {
      held.hold();
      return;
    }
    retryAfter = Math.max(0, readyAt - now);
    perform(state.notChosen(RefusalReason.MODEL_ABSENT));
  }

  private void sendOrWait(RunnerSelector.Selection.Found found, long now) {
    SendPolicy.Decision decision = decide(found, now);
    Optional<RunnerSelector.Selection.Found> alternative =
        found
            .limitedAlternative()
            .filter(limited -> decision != SendPolicy.Decision.SEND)
            .filter(limited -> decide(limited, now) == SendPolicy.Decision.SEND);
    if (alternative.isPresent()) {
      sendWithPermit(alternative.get());
      return;
    }
    switch (decision) {
      case SEND -> {
        if (sends > 0 || !held.holdBehindOthers()) {
          sendWithPermit(found);
        }
      }
      case WAIT, REFUSE -> holdOrRefuse(found.candidate(), decision, now);
      default -> throw new IllegalStateException("unknown decision " + decision);
    }
  }

  /** Holds the request if there is expected to be room early enough; otherwise refuses it. */
  private void holdOrRefuse(RunnerCandidate candidate, SendPolicy.Decision decision, long now) {
    if (sends > 0) { // An earlier attempt may still answer.
      if (decision == SendPolicy.Decision.WAIT) {
        held.hold();
      } else {
        perform(state.notChosen(RefusalReason.OVERLOADED));
      }
      return;
    }
    RoomAllocation.Place place = context.waiting().place(held.claim(), now);
    RoomAllocation.Verdict verdict =
        context.room().holdOrRefuse(held.claim(), place, candidate, timing, decision, now);
    if (verdict.held()) {
      held.holdForRoom();
      return;
    }
    retryAfter = verdict.returnMilliseconds();
    returnScheduled = true;
    held.lacksRoomFor(verdict);
    perform(state.notChosen(RefusalReason.OVERLOADED));
  }

  private SendPolicy.Decision decide(RunnerSelector.Selection.Found found, long now) {
    if (terms.prompt().isEmpty()) {
      return SendPolicy.Decision.SEND;
    }
    return context.room().decide(held.claim(), found.candidate(), timing.urgency(now), now);
  }

  private void sendWithPermit(RunnerSelector.Selection.Found found) {
    context.permits().acquire(found.runner(), granted -> permitDecided(found, granted));
  }

  private void permitDecided(RunnerSelector.Selection.Found found, boolean granted) {
    endOnError(() -> applyPermit(found, granted));
  }

  private void applyPermit(RunnerSelector.Selection.Found found, boolean granted) {
    if (!state.seeksRunner()) {
      return;
    }
    if (granted) {
      held.permitGranted();
      sendWithAdapter(found.runner(), MonotonicClock.milliseconds());
      return;
    }
    context.metrics().permitDenied();
    selectRunner();
  }

  private void refuseOrWait(RefusalReason reason) {
    boolean servesModels =
        context
            .table()
            .get()
            .flatMap(table -> table.service(service))
            .flatMap(definition -> definition.engines())
            .isPresent();
    if (reason == RefusalReason.NO_RUNNER && !servesModels && excluded.isEmpty()) {
      perform(state.notChosen(reason));
      return;
    }
    held.hold();
  }

  /** Sends to the runner after making sure that it has the required adapter. */
  private void sendWithAdapter(RunnerEntry runner, long now) {
    Optional<String> adapter = terms.prompt().flatMap(GenerationParameters::adapter);
    if (adapter.isEmpty()) {
      sendTo(runner);
      return;
    }
    String model = terms.prompt().orElseThrow().model();
    if (context.presence().hasAdapter(runner.id(), model, adapter.get(), now)) {
      context.adapters().used(runner.id(), model, adapter.get());
      sendTo(runner);
      return;
    }
    context
        .adapters()
        .ensure(runner.id(), model, adapter.get())
        .thenAccept(
            present -> endOnError(() -> adapterEnsured(runner, model, adapter.get(), present)));
  }

  private void adapterEnsured(RunnerEntry runner, String model, String adapter, boolean present) {
    if (!state.seeksRunner()) {
      return;
    }
    if (present) {
      context.presence().confirmAdapter(runner.id(), model, adapter, MonotonicClock.milliseconds());
      sendTo(runner);
      return;
    }
    LOGGER.debug("request={} runner={} adapter={} absent", terms.id(), runner.id(), adapter);
    context.vertx().setTimer(ADAPTER_RETRY_MILLISECONDS, fired -> held.retry());
  }

  private void sendTo(RunnerEntry runner) {
    if (!isKeyValid()) {
      perform(state.notChosen(RefusalReason.UNKNOWN_KEY));
      return;
    }
    if (refuseQuarantined() || refuseIfTooLate()) {
      return;
    }
    if (!context.selector().isUsable(runner)) {
      held.hold(); // The runner may have started to leave while its adapter was being loaded.
      return;
    }
    if (timing.remainingMilliseconds(MonotonicClock.milliseconds())
        < RequestAttempt.MINIMUM_SEND_MILLISECONDS) {
      perform(state.notChosen(RefusalReason.DEADLINE));
      return;
    }
    List<RequestAction> actions = state.chosen(runner.id());
    if (!actions.isEmpty()) {
      chosenRunner = runner;
    }
    perform(actions);
  }

  /** Returns whether the API key that admitted the request is still valid. */
  private boolean isKeyValid() {
    ForwardingTable current = context.table().get().orElse(table);
    boolean needed = current.accounts().requiresKeys() && !route.open();
    if (current == table || account.isEmpty() || !needed) {
      return true;
    }
    return terms.key().flatMap(current.accounts()::accountFor).isPresent();
  }

  private void send(RequestAction.Send send) {
    sends++;
    timing.sent(MonotonicClock.milliseconds());
    context.metrics().sent(sends > 1);
    if (sends == 1) {
      held.admitted();
    }
    attempt =
        new RequestAttempt(
            context,
            new RequestAttempt.ServedRequest(
                route, service, terms, risk.traits(), work(), timing.deadline()),
            state,
            new AttemptOwner(),
            send.attempt(),
            chosenRunner);
    RunnerEntry runner = chosenRunner;
    attempt.start(request.method(), target, () -> headersFor(runner, send), content);
  }

  private MultiMap headersFor(RunnerEntry runner, RequestAction.Send send) {
    SendTerms sendTerms =
        new SendTerms(
            runner.id(),
            Math.max(1, timing.remainingMilliseconds(MonotonicClock.milliseconds())),
            terms.prompt().map(prompt -> enginePriority()),
            account.map(ClientAccount::name),
            send.resumeAfter());
    MultiMap headers = context.headers().forRunner(request.headers());
    if (table.accounts().requiresKeys()) {
      headers.remove(context.dialect().callers().keyHeader());
    }
    context.dialect().runners().writeTerms(sendTerms, headers);
    return headers;
  }

  private int enginePriority() {
    return Math.max(HIGHEST_PRIORITY, Math.min(LOWEST_PRIORITY, priority()));
  }

  private void finish(RequestAction.Final finalAction) {
    context.vertx().cancelTimer(deadlineTimer);
    context.exchanges().remove(this);
    held.release();
    context.waiting().roomChanged();
    String outcome = respond(finalAction);
    long elapsed = timing.elapsedMilliseconds(MonotonicClock.milliseconds());
    context.metrics().finished(route.kind(), outcome, elapsed);
    Optional<AttemptWork> estimate = Optional.ofNullable(attempt).flatMap(RequestAttempt::work);
    LOGGER.info(
        "request={} route={} service={} outcome={} runner={} sends={} first_ms={} total_ms={}"
            + " waited_ms={} returned={} limit_ms={} model={} adapter={} tokens={} config={}"
            + " account={} fingerprint={} send_ms={} estimated_first_ms={} runner_first_ms={}"
            + " estimated_output={} output={}",
        terms.id(),
        route.name(),
        service,
        outcome,
        runnerId(),
        sends,
        timing.firstEventMilliseconds(),
        elapsed,
        held.waitedMilliseconds(),
        held.claim().returned(),
        timing.allowedMilliseconds(),
        terms.prompt().map(GenerationParameters::model).orElse(""),
        terms.prompt().flatMap(GenerationParameters::adapter).orElse(""),
        terms.prompt().map(GenerationParameters::promptTokens).orElse(0),
        table.version(),
        account.map(ClientAccount::name).orElse(""),
        fingerprint.value(),
        timing.sendMilliseconds(),
        estimate.map(each -> Math.round(each.expectation().firstEventMilliseconds())).orElse(-1L),
        estimate.map(AttemptWork::firstEventMilliseconds).orElse(-1L),
        estimate.map(each -> Math.round(each.expectation().outputTokens())).orElse(-1L),
        attempt == null ? -1 : Math.round(attempt.writtenTokens()));
  }

  private String respond(RequestAction.Final finalAction) {
    if (finalAction instanceof RequestAction.Deliver
        || finalAction instanceof RequestAction.EndStream) {
      long now = MonotonicClock.milliseconds();
      context.stop().answered(route, timing.elapsedMilliseconds(now), now);
    }
    if (finalAction instanceof RequestAction.Deliver) {
      response.respond(attempt.response());
      return attempt.response().status() < 300 ? "answered" : "runner_failure";
    } else if (finalAction instanceof RequestAction.EndStream) {
      response.endStream();
      return "streamed";
    } else if (finalAction instanceof RequestAction.AbortStream aborted) {
      response.abort();
      return "stream_aborted_" + aborted.reason();
    } else if (finalAction instanceof RequestAction.Refuse refusal) {
      context.metrics().refused(refusal.reason().name());
      if (held.claim().returned()) {
        context.metrics().returned(false);
      }
      if (quotaTaken) {
        refundQuota();
      }
      long retryMilliseconds = RetryDelay.milliseconds(refusal.reason(), retryAfter);
      // A quarantine lasts for minutes, and scheduled returns are spread already.
      boolean exact =
          refusal.reason() == RefusalReason.REQUEST_CRASHES_RUNNERS
              || returnScheduled && retryMilliseconds == retryAfter;
      response.refuse(
          refusal.reason(), exact ? retryMilliseconds : CallerResponse.jittered(retryMilliseconds));
      return "refused_" + refusal.reason();
    } else if (finalAction instanceof RequestAction.Fail failure) {
      response.fail(failure.reason());
      return "failed_" + failure.reason();
    }
    return "caller_gone";
  }

  /** Continues this request after the events of its attempts. */
  private final class AttemptOwner implements RequestAttempt.Owner {
    @Override
    public void perform(List<RequestAction> actions) {
      RequestExchange.this.perform(actions);
    }

    @Override
    public void eventsRead() {
      endOnError(RequestExchange.this::flush);
    }

    @Override
    public void stepFailed(RuntimeException exception) {
      RequestExchange.this.stepFailed(exception);
    }
  }
}
