package org.agatefield.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.agatefield.daemon.forward.wire.SendTerms;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.ForwardedRequest;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.GenerationParameters;
import org.agatefield.forwarding.RefusalReason;
import org.agatefield.forwarding.RequestAction;
import org.agatefield.forwarding.RequestMetadata;
import org.agatefield.forwarding.RetryDelay;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.RunnerEntry;
import org.agatefield.forwarding.SendPolicy;
import org.agatefield.forwarding.TokenQuota;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Carries out what a {@link ForwardedRequest} decides for one request of a caller.
 *
 * <p>Confined to one event loop.
 */
final class RequestExchange implements WaitingRequests.Waiting {
  private static final Logger LOGGER = LogManager.getLogger(RequestExchange.class);
  private static final long ANSWER_MARGIN_MILLISECONDS = 15; // the way back to the caller
  private static final long PLANNING_MILLISECONDS = 1_500; // a report, a plan and a load from disk
  private static final long FIRST_EVENT_MILLISECONDS = 250;
  private static final long ADAPTER_PAUSE_MILLISECONDS = 80; // several loads of an adapter
  private static final long LONGEST_QUOTA_MILLISECONDS = 1_500; // most failures of a holder end
  private static final double QUOTA_SHARE = 0.4; // the rest is for the answer
  private static final int MOST_URGENT = 0;
  private static final int LEAST_URGENT = 9;

  private final ForwardingContext parts;
  private final HttpServerRequest request;
  private final CallerResponse response;
  private final Route route;
  private final String service;
  private final RequestMetadata terms;
  private final Buffer content;
  private final long arrivedAt;
  private final long deadline;
  private final long beginBy;
  private final ForwardingTable table;
  private final Optional<ClientAccount> account;
  private final ForwardedRequest state;
  private Set<String> excluded = Set.of();
  private RequestAttempt attempt;
  private RunnerEntry chosenRunner;
  private boolean waiting;
  private long deadlineTimer = -1;
  private long usefulIn;
  private boolean quotaTaken;
  private int sends;
  private long firstEventAt = -1;

  /**
   * What is known of a request that may be passed on. Immutable.
   *
   * @param account the client account that it belongs to; empty where none is needed
   */
  record Admitted(
      ForwardingTable table, Route route, Optional<ClientAccount> account, RequestMetadata terms) {}

  RequestExchange(
      ForwardingContext parts,
      HttpServerRequest request,
      Admitted admitted,
      Buffer content,
      long arrivedAt,
      double draw) {
    this.parts = parts;
    this.request = request;
    this.response = new CallerResponse(request, parts.headers(), parts.leaving());
    this.table = admitted.table();
    this.route = admitted.route();
    this.account = admitted.account();
    this.service = route.serviceFor(draw);
    this.terms = admitted.terms();
    this.content = content;
    this.arrivedAt = arrivedAt;
    long allowed =
        Math.min(
            route.timeoutMilliseconds(),
            terms.deadlineMilliseconds().orElse(route.timeoutMilliseconds()));
    this.deadline = arrivedAt + Math.max(1, allowed - ANSWER_MARGIN_MILLISECONDS);
    this.beginBy = Math.min(deadline, arrivedAt + ResponseStartTimeout.milliseconds(route));
    this.state =
        new ForwardedRequest(
            route.retryMode(),
            route.maximumAttempts(),
            terms.lastEventId(),
            () -> parts.budgets().tryTake(service));
  }

  /** Refuses the request if nothing was sent yet, since this instance ends soon. */
  void refuseUnsent() {
    stopWaiting();
    perform(state.notChosen(RefusalReason.SHUTTING_DOWN));
  }

  /** Answers the request now, since this instance ends. */
  void giveUp() {
    perform(state.expired());
  }

  void start() {
    parts.exchanges().add(this);
    request.response().closeHandler(closed -> perform(state.callerGone()));
    request.response().exceptionHandler(cause -> perform(state.callerGone()));
    deadlineTimer =
        parts
            .vertx()
            .setTimer(
                Math.max(1, deadline - MonotonicClock.milliseconds()),
                fired -> perform(state.expired()));
    parts.budgets().requested(service);
    Optional<TokenQuota> quota = account.flatMap(ClientAccount::quota);
    if (quota.isEmpty()) {
      begin();
      return;
    }
    long patience =
        Math.min(LONGEST_QUOTA_MILLISECONDS, (long) (QUOTA_SHARE * (beginBy - arrivedAt)));
    parts.quotas().decide(account.get(), quota.get().cost(terms), patience, this::quotaDecided);
  }

  private void quotaDecided(QuotaPolicy.Decision decision) {
    if (state.isOver()) {
      if (decision instanceof QuotaPolicy.Decision.Granted) {
        giveQuotaBack();
      }
      return;
    }
    if (decision instanceof QuotaPolicy.Decision.Granted) {
      quotaTaken = true;
      begin();
    } else if (decision instanceof QuotaPolicy.Decision.Exhausted exhausted) {
      usefulIn = exhausted.waitMilliseconds();
      perform(state.notChosen(RefusalReason.OVER_QUOTA));
    } else {
      perform(state.notChosen(RefusalReason.QUOTA_UNKNOWN));
    }
  }

  private void giveQuotaBack() {
    account
        .flatMap(ClientAccount::quota)
        .ifPresent(quota -> parts.quotas().refund(account.get(), quota.cost(terms)));
  }

  private void begin() {
    terms.prompt().ifPresent(prompt -> parts.demand().arrived(service, prompt, priority()));
    perform(state.start());
  }

  @Override
  public int priority() {
    return account
        .map(ClientAccount::priority)
        .filter(OptionalInt::isPresent)
        .map(OptionalInt::getAsInt)
        .orElse(route.priority());
  }

  @Override
  public long deadline() {
    return deadline;
  }

  @Override
  public void tryAgain() {
    stopWaiting();
    if (!state.isOver()) {
      choose();
    }
  }

  private void perform(List<RequestAction> actions) {
    for (RequestAction action : actions) {
      perform(action);
    }
  }

  private void perform(RequestAction action) {
    if (action instanceof RequestAction.Choose wanted) {
      excluded = wanted.excluded();
      choose();
    } else if (action instanceof RequestAction.Send send) {
      send(send);
    } else if (action instanceof RequestAction.Cancel) {
      attempt.cancel();
    } else if (action instanceof RequestAction.BeginStream) {
      firstEventAt = MonotonicClock.milliseconds();
      response.beginStream(attempt.streamHead(), attempt.lastEvent());
    } else if (action instanceof RequestAction.ContinueStream) {
      response.continueStream(attempt.lastEvent());
    } else if (action instanceof RequestAction.Final last) {
      finish(last);
    }
  }

  private void choose() {
    long now = MonotonicClock.milliseconds();
    RunnerSelector.Selection selection =
        parts.selector().select(service, terms.prompt(), excluded, now);
    if (selection instanceof RunnerSelector.Selection.Found found) {
      sendOrWait(found, now);
    } else if (selection instanceof RunnerSelector.Selection.NoRunner) {
      refuseOrWait(RefusalReason.NO_RUNNER);
    } else if (selection instanceof RunnerSelector.Selection.AllBackingOff quiet) {
      waitForQuiet(quiet.untilMilliseconds(), now);
    } else if (selection instanceof RunnerSelector.Selection.ModelAbsent) {
      waitForModel(now);
    } else {
      excluded = Set.of();
      startWaiting();
    }
  }

  /** Waits for a runner that wants no requests for a while, if it takes them again in time. */
  private void waitForQuiet(long until, long now) {
    if (until + FIRST_EVENT_MILLISECONDS <= beginBy) {
      startWaiting();
      return;
    }
    usefulIn = Math.max(0, until - now);
    perform(state.notChosen(RefusalReason.OVERLOADED));
  }

  /** Waits only for a model that will be there in time, or whose load may still be planned. */
  private void waitForModel(long now) {
    String model = terms.prompt().orElseThrow().model();
    OptionalLong expectedAt = parts.presence().expectedAt(model, now);
    long readyAt = expectedAt.orElse(arrivedAt + PLANNING_MILLISECONDS);
    boolean inTime = readyAt + FIRST_EVENT_MILLISECONDS <= beginBy && readyAt > now;
    boolean overdue = expectedAt.isPresent() && readyAt <= now;
    if (inTime || overdue) {
      startWaiting();
      return;
    }
    usefulIn = Math.max(0, readyAt - now);
    perform(state.notChosen(RefusalReason.MODEL_ABSENT));
  }

  private void sendOrWait(RunnerSelector.Selection.Found found, long now) {
    SendPolicy.Decision decision =
        terms.prompt().isEmpty()
            ? SendPolicy.Decision.SEND
            : parts
                .sending()
                .decide(
                    found.candidate(),
                    new SendPolicy.Timing(
                        route.objectiveMilliseconds(),
                        Math.max(0, arrivedAt + route.objectiveMilliseconds() - now),
                        beginBy - now));
    switch (decision) {
      case SEND -> take(found.runner(), now);
      case WAIT -> startWaiting();
      case REFUSE -> perform(state.notChosen(RefusalReason.OVERLOADED));
      default -> throw new IllegalStateException("unknown decision " + decision);
    }
  }

  private void refuseOrWait(RefusalReason reason) {
    boolean servesModels =
        parts
            .table()
            .get()
            .flatMap(table -> table.service(service))
            .flatMap(definition -> definition.engines())
            .isPresent();
    if (reason == RefusalReason.NO_RUNNER && !servesModels && excluded.isEmpty()) {
      perform(state.notChosen(reason));
      return;
    }
    startWaiting();
  }

  private void startWaiting() {
    waiting = true;
    terms.prompt().ifPresent(prompt -> parts.demand().waiting(service, prompt, 1));
    parts.waiting().add(this);
  }

  private void stopWaiting() {
    if (waiting) {
      waiting = false;
      terms.prompt().ifPresent(prompt -> parts.demand().waiting(service, prompt, -1));
      parts.waiting().remove(this);
    }
  }

  /** Sends to a runner, once it has the adapter that is needed. */
  private void take(RunnerEntry runner, long now) {
    Optional<String> adapter = terms.prompt().flatMap(GenerationParameters::adapter);
    if (adapter.isEmpty()) {
      sendTo(runner);
      return;
    }
    String model = terms.prompt().orElseThrow().model();
    if (parts.presence().hasAdapter(runner.id(), model, adapter.get(), now)) {
      sendTo(runner);
      return;
    }
    parts
        .adapters()
        .ensure(runner.id(), model, adapter.get())
        .thenAccept(present -> adapterEnsured(runner, model, adapter.get(), present));
  }

  private void adapterEnsured(RunnerEntry runner, String model, String adapter, boolean present) {
    if (state.isOver()) {
      return;
    }
    if (present) {
      parts.presence().confirmAdapter(runner.id(), model, adapter, MonotonicClock.milliseconds());
      sendTo(runner);
      return;
    }
    LOGGER.debug("request={} runner={} adapter={} absent", terms.id(), runner.id(), adapter);
    parts.vertx().setTimer(ADAPTER_PAUSE_MILLISECONDS, fired -> tryAgain());
  }

  private void sendTo(RunnerEntry runner) {
    if (!keyHolds()) {
      perform(state.notChosen(RefusalReason.UNKNOWN_KEY));
      return;
    }
    if (!parts.selector().isUsable(runner)) {
      startWaiting(); // the runner began to leave while its adapter was loaded
      return;
    }
    if (deadline - MonotonicClock.milliseconds() < RequestAttempt.SHORTEST_SEND_MILLISECONDS) {
      perform(state.notChosen(RefusalReason.DEADLINE));
      return;
    }
    chosenRunner = runner;
    perform(state.chosen(runner.id()));
  }

  /** Returns whether the key that let the request in has not been taken away meanwhile. */
  private boolean keyHolds() {
    ForwardingTable current = parts.table().get().orElse(table);
    boolean needed = current.accounts().requiresKeys() && !route.open();
    if (current == table || account.isEmpty() || !needed) {
      return true;
    }
    return terms.key().flatMap(current.accounts()::accountFor).isPresent();
  }

  private void send(RequestAction.Send send) {
    sends++;
    parts.metrics().sent(sends > 1);
    attempt =
        new RequestAttempt(
            parts,
            new RequestAttempt.Purpose(route, service, terms, deadline),
            state,
            this::perform,
            send.attempt(),
            chosenRunner);
    RunnerEntry runner = chosenRunner;
    attempt.start(request, () -> headersFor(runner, send), content);
  }

  private MultiMap headersFor(RunnerEntry runner, RequestAction.Send send) {
    SendTerms sendTerms =
        new SendTerms(
            runner.id(),
            Math.max(1, deadline - MonotonicClock.milliseconds()),
            terms.prompt().map(prompt -> enginePriority()),
            account.map(ClientAccount::name),
            send.resumeAfter());
    MultiMap headers = parts.headers().forRunner(request.headers());
    if (table.accounts().requiresKeys()) {
      headers.remove(parts.dialect().callers().keyHeader());
    }
    parts.dialect().runners().writeTerms(sendTerms, headers);
    return headers;
  }

  private int enginePriority() {
    return Math.max(MOST_URGENT, Math.min(LEAST_URGENT, priority()));
  }

  private void finish(RequestAction.Final last) {
    parts.vertx().cancelTimer(deadlineTimer);
    parts.exchanges().remove(this);
    stopWaiting();
    String outcome = deliver(last);
    long elapsed = MonotonicClock.milliseconds() - arrivedAt;
    parts.metrics().finished(route.kind(), outcome, elapsed);
    LOGGER.info(
        "request={} route={} service={} outcome={} runner={} sends={} first_ms={} total_ms={}"
            + " limit_ms={} model={} adapter={} tokens={} config={} account={}",
        terms.id(),
        route.name(),
        service,
        outcome,
        chosenRunner == null ? "" : chosenRunner.id(),
        sends,
        firstEventAt < 0 ? -1 : firstEventAt - arrivedAt,
        elapsed,
        deadline - arrivedAt,
        terms.prompt().map(GenerationParameters::model).orElse(""),
        terms.prompt().flatMap(GenerationParameters::adapter).orElse(""),
        terms.prompt().map(GenerationParameters::promptTokens).orElse(0),
        table.version(),
        account.map(ClientAccount::name).orElse(""));
  }

  private String deliver(RequestAction.Final last) {
    if (last instanceof RequestAction.Deliver) {
      response.deliver(attempt.answer());
      return attempt.answer().status() < 300 ? "answered" : "runner_failure";
    } else if (last instanceof RequestAction.EndStream) {
      response.endStream();
      return "streamed";
    } else if (last instanceof RequestAction.AbortStream) {
      response.abort();
      return "stream_aborted";
    } else if (last instanceof RequestAction.Refuse refusal) {
      parts.metrics().refused(refusal.reason().name());
      if (quotaTaken) {
        giveQuotaBack();
      }
      long returnIn = RetryDelay.milliseconds(refusal.reason(), usefulIn);
      response.refuse(refusal.reason(), CallerResponse.spread(returnIn));
      return "refused_" + refusal.reason();
    } else if (last instanceof RequestAction.Fail failure) {
      response.fail(failure.reason());
      return "failed_" + failure.reason();
    }
    return "caller_gone";
  }
}
