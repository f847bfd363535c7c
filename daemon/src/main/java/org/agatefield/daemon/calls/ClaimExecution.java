package org.agatefield.daemon.calls;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
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
 * Carries out the decisions of {@link ClaimProtocol} for one arrival of a call.
 *
 * <p>Invariant: one step is awaited at a time, so that events come one after another; {@link
 * #state} and the other fields are guarded by the object's lock, which is not held while actions
 * run. The reply completes once.
 */
final class ClaimExecution {
  private static final Logger LOGGER = LogManager.getLogger(ClaimExecution.class);
  private static final Duration FIRST_POLL_DELAY = Duration.ofMillis(20);
  private static final Duration LONGEST_POLL_DELAY = Duration.ofMillis(500);
  private static final long SHORTEST_RETRY_AFTER_MILLISECONDS = 500;
  private static final long LONGEST_RETRY_AFTER_MILLISECONDS = 2_000;

  private final CallContext parts;
  private final NonRepeatableCall call;
  private final ServiceRequest request;
  private final Dispatcher dispatcher;
  private final NonRepeatableCall.Sender sender;
  private final String name;
  private final CallAttempt arrival;
  private final Claim<ServiceResponse> claim;
  private final Consumer<ClaimExecution> over;
  private final ClaimProtocol<ServiceResponse> protocol = new ClaimProtocol<>();
  private final CompletableFuture<ServiceResponse> reply = new CompletableFuture<>();
  private final Backoff polls = new Backoff(FIRST_POLL_DELAY, LONGEST_POLL_DELAY);
  private final AtomicInteger permittedSends = new AtomicInteger(1);
  private ClaimState<ServiceResponse> state = ClaimState.initial();
  private Optional<Dispatch> dispatch = Optional.empty();
  private Optional<StoredClaim> lastRead = Optional.empty();
  private Optional<StoredClaim> own = Optional.empty();
  private boolean createUnknown;

  ClaimExecution(
      CallContext parts,
      NonRepeatableCall call,
      ServiceRequest request,
      Dispatcher dispatcher,
      NonRepeatableCall.Sender sender,
      String name,
      CallAttempt arrival,
      Claim<ServiceResponse> claim,
      Consumer<ClaimExecution> over) {
    this.parts = parts;
    this.call = call;
    this.request = request;
    this.dispatcher = dispatcher;
    this.sender = sender;
    this.name = name;
    this.arrival = arrival;
    this.claim = claim;
    this.over = over;
  }

  String bodyHash() {
    return arrival.bodyHash();
  }

  /** Returns the answer to the caller. */
  CompletableFuture<ServiceResponse> reply() {
    return reply;
  }

  /** Returns whether a claim of this arrival may be in the store without its outcome. */
  synchronized boolean isClaimed() {
    return switch (state.phase()) {
      case CREATING, READING_BACK, HOLDING, SENDING, REACQUIRING, QUERYING_OWN_OUTCOME, RECORDING ->
          true;
      default -> false;
    };
  }

  void start() {
    try {
      carryOut(protocol.begin());
    } catch (RuntimeException fault) {
      fail(fault);
    }
  }

  private void feed(ClaimEvent<ServiceResponse> event) {
    try {
      ClaimStep<ServiceResponse> step;
      synchronized (this) {
        step = protocol.next(state, event, arrival, System.nanoTime());
        state = step.state();
      }
      carryOut(step);
    } catch (RuntimeException fault) {
      fail(fault);
    }
  }

  /**
   * Carries a step out. An arrival that is over is forgotten before its caller is answered, so that
   * a retry that follows the answer does not join it.
   */
  private void carryOut(ClaimStep<ServiceResponse> step) {
    boolean ends = step.state().phase() == ClaimState.Phase.DONE;
    for (ClaimAction<ServiceResponse> action : step.actions()) {
      if (ends && isAnswer(action)) {
        over.accept(this);
      }
      perform(action);
    }
    if (ends) {
      over.accept(this);
    }
  }

  private static boolean isAnswer(ClaimAction<ServiceResponse> action) {
    return action instanceof ClaimAction.Reply
        || action instanceof ClaimAction.Refuse
        || action instanceof ClaimAction.RefuseWithError;
  }

  /** Gives the arrival up after a fault; a claim stays, so that the call is never run again. */
  private void fail(RuntimeException fault) {
    LOGGER.error("fault in a call that must not repeat request={}", call.requestId(), fault);
    finishDispatch(DispatchOutcome.FAILED);
    reply.completeExceptionally(AgatefieldException.from(fault));
    over.accept(this);
  }

  private void perform(ClaimAction<ServiceResponse> action) {
    if (action instanceof ClaimAction.Read) {
      parts.claims().read(name).whenComplete(this::readCompleted);
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
      parts.vertx().setTimer(polls.nextMilliseconds(), fired -> feed(new ClaimEvent.PollDue<>()));
    } else if (action instanceof ClaimAction.QueryService) {
      parts.outcomes().ask(call).whenComplete(this::asked);
    } else {
      performEnd(action);
    }
  }

  private void performEnd(ClaimAction<ServiceResponse> action) {
    if (action instanceof ClaimAction.Record<ServiceResponse> write) {
      recordOutcome(write.outcome());
    } else if (action instanceof ClaimAction.RecordForOther<ServiceResponse> write) {
      recordFor(write);
    } else if (action instanceof ClaimAction.Remove) {
      parts.remover().remove(name, arrival.attemptId(), createUnknown);
    } else if (action instanceof ClaimAction.RemoveFound) {
      parts
          .remover()
          .<ServiceResponse>removeFound(lastRead.orElseThrow().object())
          .thenAccept(this::feed);
    } else if (action instanceof ClaimAction.Reply<ServiceResponse> answer) {
      reply.complete(answer.answer());
    } else if (action instanceof ClaimAction.Refuse<ServiceResponse> refusal) {
      refuse(refusal);
    } else if (action instanceof ClaimAction.RefuseWithError<ServiceResponse> refusal) {
      reply.completeExceptionally(AgatefieldException.from(refusal.error()));
    }
  }

  private void readCompleted(Optional<StoredClaim> found, Throwable failure) {
    if (failure != null) {
      feed(new ClaimEvent.ReadFailed<>());
      return;
    }
    if (found.isEmpty()) {
      feed(new ClaimEvent.Absent<>());
      return;
    }
    Claim<ServiceResponse> seen = found.get().claim();
    synchronized (this) {
      lastRead = found;
      if (seen.attemptId().equals(arrival.attemptId())) {
        own = found;
      }
    }
    feed(new ClaimEvent.Found<>(seen, parts.holders().stateOf(seen)));
  }

  private void acquired(Dispatch chosen, Throwable failure) {
    if (failure != null) {
      feed(new ClaimEvent.AcquireFailed<>(failure));
      return;
    }
    synchronized (this) {
      dispatch = Optional.of(chosen);
    }
    feed(new ClaimEvent.Acquired<>());
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
    parts.hook().reached(FailPoint.BEFORE_CLAIM, call.key());
    parts.claims().create(name, claim).whenComplete(this::created);
  }

  private void created(StoredClaim stored, Throwable failure) {
    if (failure == null) {
      synchronized (this) {
        own = Optional.of(stored);
      }
      feed(new ClaimEvent.Created<>());
      return;
    }
    StoreFailure known = StoreException.failureOf(failure).orElse(StoreFailure.UNKNOWN_RESULT);
    switch (known) {
      case ALREADY_EXISTS -> feed(new ClaimEvent.CreateRejected<>());
      case UNKNOWN_RESULT -> {
        synchronized (this) {
          createUnknown = true;
        }
        feed(new ClaimEvent.CreateUnknown<>());
      }
      default -> feed(new ClaimEvent.CreateRefused<>());
    }
  }

  private void resume() {
    parts.hook().reached(FailPoint.AFTER_CLAIM, call.key());
    feed(new ClaimEvent.DeadlineCheckDue<>());
  }

  private void send() {
    boolean abandoned = parts.remover().isAbandoned(arrival.attemptId());
    boolean permitted = permittedSends.getAndDecrement() > 0 && !abandoned;
    parts
        .monitor()
        .check(
            InvariantMonitor.Invariant.AT_MOST_ONCE,
            permitted,
            () -> "send of attempt " + arrival.attemptId() + " that is over, key " + call.key());
    if (!permitted) {
      throw new IllegalStateException("send of attempt " + arrival.attemptId() + " that is over");
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
    parts.hook().reached(FailPoint.AFTER_SEND, call.key());
  }

  private void sent(ServiceResponse answer, Throwable failure) {
    if (failure == null) {
      finishDispatch(DispatchOutcome.SUCCEEDED);
      feed(new ClaimEvent.Answered<>(answer));
      return;
    }
    AgatefieldException error = AgatefieldException.from(failure);
    if (error.runState() == RunState.NO) {
      permittedSends.incrementAndGet();
    } else {
      boolean late = error.kind() == ErrorKind.DEADLINE_EXCEEDED;
      finishDispatch(late ? DispatchOutcome.TIMED_OUT : DispatchOutcome.FAILED);
    }
    feed(new ClaimEvent.SendFailed<>(error.runState(), error));
  }

  private void asked(Optional<ServiceResponse> answer, Throwable failure) {
    if (failure == null && answer.isPresent()) {
      feed(new ClaimEvent.OutcomeReceived<>(answer.get()));
    } else {
      feed(new ClaimEvent.OutcomeUnavailable<>());
    }
  }

  private void recordOutcome(Claim.Outcome<ServiceResponse> outcome) {
    parts.hook().reached(FailPoint.BEFORE_OUTCOME, call.key());
    new OutcomeRecorder(
            parts.vertx(), parts.claims(), parts.monitor(), () -> feed(new ClaimEvent.Recorded<>()))
        .start(own.orElseThrow(), outcome);
  }

  private void recordFor(ClaimAction.RecordForOther<ServiceResponse> write) {
    Claim.Outcome<ServiceResponse> outcome = new Claim.Outcome<>(Optional.of(write.answer()));
    parts.claims().record(lastRead.orElseThrow(), outcome, arrival.attemptId());
  }

  private void refuse(ClaimAction.Refuse<ServiceResponse> refusal) {
    long delay =
        ThreadLocalRandom.current()
            .nextLong(SHORTEST_RETRY_AFTER_MILLISECONDS, LONGEST_RETRY_AFTER_MILLISECONDS);
    reply.completeExceptionally(
        new AgatefieldException(
            refusal.kind(), refusal.runState(), refusal.reason(), Duration.ofMillis(delay), null));
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
