package org.agatefield.daemon.calls;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatefield.daemon.core.Dispatch;
import org.agatefield.daemon.core.DispatchOutcome;
import org.agatefield.daemon.core.Dispatcher;
import org.agatefield.daemon.core.FailPoint;
import org.agatefield.daemon.core.InvariantMonitor;
import org.agatefield.daemon.core.NonRepeatableCall;
import org.agatefield.daemon.core.ServiceRequest;
import org.agatefield.daemon.core.ServiceResponse;
import org.agatefield.idempotency.CallAttempt;
import org.agatefield.idempotency.Claim;
import org.agatefield.idempotency.ClaimAction;
import org.agatefield.idempotency.ClaimEvent;
import org.agatefield.idempotency.ClaimProtocol;
import org.agatefield.idempotency.ClaimState;
import org.agatefield.idempotency.ClaimStep;
import org.agatefield.model.AgatefieldException;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;
import org.agatefield.store.Backoff;
import org.agatefield.store.StoreException;
import org.agatefield.store.StoreFailure;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Executes the decisions of {@link ClaimProtocol} for one arrival of a call.
 *
 * <p>Invariants: at most one asynchronous step is pending, so events are processed sequentially;
 * the reply completes once. {@link #state} and the other mutable fields are guarded by the object's
 * lock, which is not held while actions run.
 */
final class ClaimExecution {
  private static final Logger LOGGER = LogManager.getLogger(ClaimExecution.class);
  private static final Duration INITIAL_POLL_DELAY = Duration.ofMillis(20);
  private static final Duration MAXIMUM_POLL_DELAY = Duration.ofMillis(500);
  private static final long MINIMUM_RETRY_AFTER_MILLISECONDS = 500;
  private static final long MAXIMUM_RETRY_AFTER_MILLISECONDS = 2_000;

  private final CallContext context;
  private final NonRepeatableCall call;
  private final ServiceRequest request;
  private final Dispatcher dispatcher;
  private final NonRepeatableCall.Sender sender;
  private final String name;
  private final CallAttempt arrival;
  private final Claim<ServiceResponse> claim;
  private final Listener listener;
  private final ClaimProtocol<ServiceResponse> protocol = new ClaimProtocol<>();
  private final CompletableFuture<ServiceResponse> reply = new CompletableFuture<>();
  private final Backoff polls = new Backoff(INITIAL_POLL_DELAY, MAXIMUM_POLL_DELAY);
  private final AtomicInteger permittedSends = new AtomicInteger(1);
  private ClaimState<ServiceResponse> state = ClaimState.initial();
  private Optional<Dispatch> dispatch = Optional.empty();
  private Optional<StoredClaim> lastRead = Optional.empty();
  private Optional<StoredClaim> ownClaim = Optional.empty();
  private boolean createUnknown;

  /** Is told of the progress of an arrival, by whichever thread advances it. Thread-safe. */
  interface Listener {
    /**
     * Called once, before any caller gets the reply.
     *
     * @param answer null if the call failed
     * @param failure null if the call was answered
     */
    void replied(ServiceResponse answer, Throwable failure);

    /** Called at least once when no step of the arrival is pending any more. */
    void ended(ClaimExecution execution);
  }

  ClaimExecution(
      CallContext context,
      NonRepeatableCall call,
      ServiceRequest request,
      Dispatcher dispatcher,
      NonRepeatableCall.Sender sender,
      String name,
      CallAttempt arrival,
      Claim<ServiceResponse> claim,
      Listener listener) {
    this.context = context;
    this.call = call;
    this.request = request;
    this.dispatcher = dispatcher;
    this.sender = sender;
    this.name = name;
    this.arrival = arrival;
    this.claim = claim;
    this.listener = listener;
  }

  String bodyHash() {
    return arrival.bodyHash();
  }

  /** Returns the future reply to the caller. */
  CompletableFuture<ServiceResponse> reply() {
    return reply;
  }

  /** Returns whether the store may contain this arrival's claim without an outcome. */
  synchronized boolean isClaimed() {
    return switch (state.phase()) {
      case CREATING, READING_BACK, HOLDING, SENDING, REACQUIRING, QUERYING_OWN_OUTCOME, RECORDING ->
          true;
      default -> false;
    };
  }

  /** Returns the claim to write again if the store has forgotten it while the call runs. */
  synchronized Optional<Claim<ServiceResponse>> claimOfRunningCall() {
    return switch (state.phase()) {
      case SENDING, QUERYING_OWN_OUTCOME -> {
        createUnknown = true; // it may appear after the call turned out not to have been sent
        yield Optional.of(claim);
      }
      default -> Optional.empty();
    };
  }

  void start() {
    try {
      execute(protocol.begin());
    } catch (RuntimeException fault) {
      fail(fault);
    }
  }

  private void process(ClaimEvent<ServiceResponse> event) {
    try {
      ClaimStep<ServiceResponse> step;
      synchronized (this) {
        step = protocol.next(state, event, arrival, System.nanoTime());
        state = step.state();
      }
      execute(step);
    } catch (RuntimeException fault) {
      fail(fault);
    }
  }

  /**
   * Executes a step. A finished arrival is deregistered before its caller gets the reply, so that a
   * retry sent after the reply does not join it.
   */
  private void execute(ClaimStep<ServiceResponse> step) {
    boolean ends = step.state().phase() == ClaimState.Phase.DONE;
    for (ClaimAction<ServiceResponse> action : step.actions()) {
      if (ends && isReply(action)) {
        listener.ended(this);
      }
      perform(action);
    }
    if (ends) {
      listener.ended(this);
    }
  }

  private static boolean isReply(ClaimAction<ServiceResponse> action) {
    return action instanceof ClaimAction.Reply
        || action instanceof ClaimAction.Refuse
        || action instanceof ClaimAction.RefuseWithError;
  }

  /**
   * Fails the arrival after an unexpected exception. A claim stays, so the call is never executed
   * again.
   */
  private void fail(RuntimeException fault) {
    LOGGER.error("unexpected failure of a non-repeatable call request={}", call.requestId(), fault);
    finishDispatch(DispatchOutcome.FAILED);
    complete(null, AgatefieldException.from(fault));
    listener.ended(this);
  }

  private void perform(ClaimAction<ServiceResponse> action) {
    if (action instanceof ClaimAction.Read) {
      context.claims().read(name).whenComplete(this::readCompleted);
    } else if (action instanceof ClaimAction.Acquire) {
      dispatcher.acquire(request).whenComplete(this::acquired);
    } else if (action instanceof ClaimAction.Reacquire) {
      reacquire();
    } else if (action instanceof ClaimAction.ReleaseUpstream) {
      finishDispatch(DispatchOutcome.CANCELLED);
    } else if (action instanceof ClaimAction.Create) {
      create();
    } else if (action instanceof ClaimAction.CheckDeadline) {
      resume();
    } else if (action instanceof ClaimAction.Send) {
      send();
    } else if (action instanceof ClaimAction.PollLater) {
      context
          .vertx()
          .setTimer(polls.nextMilliseconds(), fired -> process(new ClaimEvent.PollDue<>()));
    } else if (action instanceof ClaimAction.QueryService) {
      context.outcomes().ask(call).whenComplete(this::outcomeQueried);
    } else {
      performFinal(action);
    }
  }

  private void performFinal(ClaimAction<ServiceResponse> action) {
    if (action instanceof ClaimAction.Record<ServiceResponse> write) {
      recordOutcome(write.outcome());
    } else if (action instanceof ClaimAction.RecordForOther<ServiceResponse> write) {
      recordFor(write);
    } else if (action instanceof ClaimAction.Remove) {
      context.remover().remove(name, arrival.attemptId(), createUnknown);
    } else if (action instanceof ClaimAction.RemoveFound) {
      context
          .remover()
          .<ServiceResponse>removeFound(lastRead.orElseThrow().object())
          .thenAccept(this::process);
    } else if (action instanceof ClaimAction.Reply<ServiceResponse> answer) {
      complete(answer.answer(), null);
    } else if (action instanceof ClaimAction.Refuse<ServiceResponse> refusal) {
      refuse(refusal);
    } else if (action instanceof ClaimAction.RefuseWithError<ServiceResponse> refusal) {
      complete(null, AgatefieldException.from(refusal.error()));
    }
  }

  private void readCompleted(Optional<StoredClaim> found, Throwable failure) {
    if (failure != null) {
      process(new ClaimEvent.ReadFailed<>());
      return;
    }
    if (found.isEmpty()) {
      context.beginnings().isConclusive(call.key()).whenComplete(this::absenceJudged);
      return;
    }
    Claim<ServiceResponse> foundClaim = found.get().claim();
    synchronized (this) {
      lastRead = found;
      if (foundClaim.attemptId().equals(arrival.attemptId())) {
        ownClaim = found;
      }
    }
    context
        .beginnings()
        .isConclusive(call.key(), found.get().object())
        .whenComplete(
            (conclusive, unknown) ->
                process(
                    new ClaimEvent.Found<>(
                        foundClaim,
                        context.holderStates().stateOf(foundClaim),
                        unknown == null && conclusive)));
  }

  private void absenceJudged(Boolean conclusive, Throwable failure) {
    if (failure == null) {
      process(new ClaimEvent.Absent<>(conclusive));
      return;
    }
    LOGGER.debug("beginning of the store's era is not known", failure);
    process(new ClaimEvent.ReadFailed<>());
  }

  private void acquired(Dispatch chosen, Throwable failure) {
    if (failure != null) {
      process(new ClaimEvent.AcquireFailed<>(failure));
      return;
    }
    synchronized (this) {
      dispatch = Optional.of(chosen);
    }
    process(new ClaimEvent.Acquired<>());
  }

  private void reacquire() {
    Dispatch failed;
    synchronized (this) {
      failed = dispatch.orElseThrow();
      dispatch = Optional.empty();
    }
    dispatcher.reacquire(failed, DispatchOutcome.UNREACHABLE).whenComplete(this::acquired);
  }

  private void create() {
    context.hook().reached(FailPoint.BEFORE_CLAIM, call.key());
    context.claims().create(name, claim).whenComplete(this::created);
  }

  private void created(StoredClaim stored, Throwable failure) {
    if (failure == null) {
      synchronized (this) {
        ownClaim = Optional.of(stored);
      }
      context
          .beginnings()
          .isConclusive(call.key(), stored.object())
          .whenComplete(
              (conclusive, unknown) ->
                  process(new ClaimEvent.Created<>(unknown == null && conclusive)));
      return;
    }
    StoreFailure known = StoreException.failureOf(failure).orElse(StoreFailure.UNKNOWN_RESULT);
    switch (known) {
      case ALREADY_EXISTS -> process(new ClaimEvent.CreateRejected<>());
      case UNKNOWN_RESULT -> {
        synchronized (this) {
          createUnknown = true;
        }
        process(new ClaimEvent.CreateUnknown<>());
      }
      default -> process(new ClaimEvent.CreateRefused<>());
    }
  }

  private void resume() {
    context.hook().reached(FailPoint.AFTER_CLAIM, call.key());
    process(new ClaimEvent.DeadlineCheckDue<>());
  }

  private void send() {
    boolean abandoned = context.remover().isAbandoned(arrival.attemptId());
    boolean permitted = permittedSends.getAndDecrement() > 0 && !abandoned;
    context
        .monitor()
        .check(
            InvariantMonitor.Invariant.AT_MOST_ONCE,
            permitted,
            () ->
                "send of attempt "
                    + arrival.attemptId()
                    + " that was already sent or abandoned, key "
                    + call.key());
    if (!permitted) {
      throw new IllegalStateException(
          "send of attempt " + arrival.attemptId() + " that was already sent or abandoned");
    }
    Dispatch chosen = dispatch.orElseThrow();
    LOGGER.info(
        "call sent request={} service={} upstream={} claim={} attempt={}",
        call.requestId(),
        call.service().name(),
        chosen.upstream().name(),
        name,
        arrival.attemptId());
    sender.send(chosen.upstream().address()).whenComplete(this::sent);
    context.hook().reached(FailPoint.AFTER_SEND, call.key());
  }

  private void sent(ServiceResponse answer, Throwable failure) {
    if (failure == null) {
      finishDispatch(DispatchOutcome.SUCCEEDED);
      process(new ClaimEvent.Answered<>(answer));
      return;
    }
    AgatefieldException error = AgatefieldException.from(failure);
    if (error.runState() == RunState.NO) {
      permittedSends.incrementAndGet();
    } else {
      boolean timedOut = error.kind() == ErrorKind.DEADLINE_EXCEEDED;
      finishDispatch(timedOut ? DispatchOutcome.TIMED_OUT : DispatchOutcome.FAILED);
    }
    process(new ClaimEvent.SendFailed<>(error.runState(), error));
  }

  private void outcomeQueried(Optional<ServiceResponse> answer, Throwable failure) {
    if (failure == null && answer.isPresent()) {
      process(new ClaimEvent.OutcomeReceived<>(answer.get()));
    } else {
      process(new ClaimEvent.OutcomeUnavailable<>());
    }
  }

  private void recordOutcome(Claim.Outcome<ServiceResponse> outcome) {
    context.hook().reached(FailPoint.BEFORE_OUTCOME, call.key());
    new OutcomeRecorder(
            context.vertx(),
            context.claims(),
            context.monitor(),
            () -> process(new ClaimEvent.Recorded<>()))
        .start(ownClaim.orElseThrow(), outcome);
  }

  private void recordFor(ClaimAction.RecordForOther<ServiceResponse> write) {
    Claim.Outcome<ServiceResponse> outcome = new Claim.Outcome<>(Optional.of(write.answer()));
    context.claims().record(lastRead.orElseThrow(), outcome, arrival.attemptId());
  }

  private void refuse(ClaimAction.Refuse<ServiceResponse> refusal) {
    long delay =
        ThreadLocalRandom.current()
            .nextLong(MINIMUM_RETRY_AFTER_MILLISECONDS, MAXIMUM_RETRY_AFTER_MILLISECONDS);
    complete(
        null,
        new AgatefieldException(
            refusal.kind(), refusal.runState(), refusal.reason(), Duration.ofMillis(delay), null));
  }

  private void complete(ServiceResponse answer, Throwable failure) {
    if (reply.isDone()) {
      return;
    }
    listener.replied(answer, failure);
    if (failure == null) {
      reply.complete(answer);
    } else {
      reply.completeExceptionally(failure);
    }
  }

  private void finishDispatch(DispatchOutcome outcome) {
    Optional<Dispatch> finished;
    synchronized (this) {
      finished = dispatch;
      dispatch = Optional.empty();
    }
    finished.ifPresent(held -> held.finished(outcome));
  }
}
