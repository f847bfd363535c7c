package org.agatefield.idempotency;

import static org.agatefield.idempotency.ClaimState.Phase;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatefield.idempotency.ClaimEvent.HolderState;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;

/**
 * Decides what an arrival of a call that must run at most once does next.
 *
 * <p>The claim is in the store before the call is sent, only its writer sends, and at most once.
 * Invariants:
 *
 * <ul>
 *   <li>{@link ClaimAction.Send} is only given in {@link Phase#HOLDING}, which is only reached with
 *       the own claim seen in the store, and reached again only on proof that nothing was sent;
 *   <li>{@link ClaimAction.Remove} is never given after {@link ClaimAction.Send}, but on proof that
 *       nothing was sent; after it the arrival neither creates a claim nor sends;
 *   <li>a refusal with {@link RunState#NO} means that at a moment after the arrival no attempt with
 *       the key had been sent, and that this attempt never will be.
 * </ul>
 *
 * <p>Stateless and safe for use by any thread.
 *
 * @param <A> the answer
 */
public final class ClaimProtocol<A> {
  /** Returns what to do first. */
  public ClaimStep<A> begin() {
    return step(Phase.READING, new ClaimAction.Read<>());
  }

  /**
   * Returns what to do after an event.
   *
   * @throws IllegalStateException if the event cannot happen in the state
   */
  public ClaimStep<A> next(
      ClaimState<A> state, ClaimEvent<A> event, CallAttempt arrival, long nowNanoseconds) {
    return switch (state.phase()) {
      case READING -> afterRead(event, arrival, nowNanoseconds);
      case ACQUIRING -> afterAcquire(event);
      case CREATING -> afterCreate(event);
      case READING_BACK -> afterReadBack(event, arrival);
      case HOLDING -> afterHold(arrival, nowNanoseconds);
      case SENDING -> afterSend(event, arrival);
      case REACQUIRING -> afterReacquire(event);
      case QUERYING_OWN_OUTCOME -> afterAskForOwn(state, event);
      case QUERYING_FOUND_OUTCOME -> afterAskForFound(state, event);
      case REMOVING_ABANDONED -> afterClear(event);
      case WAITING -> step(Phase.READING, new ClaimAction.Read<>());
      case RECORDING -> step(Phase.DONE);
      case DONE -> throw unexpected(state, event);
    };
  }

  private ClaimStep<A> afterRead(ClaimEvent<A> event, CallAttempt arrival, long now) {
    if (event instanceof ClaimEvent.Absent) {
      return step(Phase.ACQUIRING, new ClaimAction.Acquire<>());
    }
    if (event instanceof ClaimEvent.Found<A> found) {
      return judge(found, arrival, now);
    }
    return refuse(
        ErrorKind.STORE_UNAVAILABLE,
        RunState.UNKNOWN,
        "the store cannot be read; this arrival was not run, an earlier one may have been");
  }

  private ClaimStep<A> afterAcquire(ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.AcquireFailed<A> failed) {
      return step(Phase.DONE, new ClaimAction.RefuseWithError<>(failed.error()));
    }
    return step(Phase.CREATING, new ClaimAction.Create<>());
  }

  private ClaimStep<A> afterCreate(ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.Created) {
      return step(Phase.HOLDING, new ClaimAction.CheckDeadline<>());
    }
    if (event instanceof ClaimEvent.CreateRejected) {
      return step(Phase.READING, new ClaimAction.ReleaseUpstream<>(), new ClaimAction.Read<>());
    }
    if (event instanceof ClaimEvent.CreateUnknown) {
      return step(Phase.READING_BACK, new ClaimAction.Read<>());
    }
    return step(
        Phase.DONE,
        new ClaimAction.ReleaseUpstream<>(),
        storeUnavailable(RunState.NO, "the store refused the claim"));
  }

  private ClaimStep<A> afterReadBack(ClaimEvent<A> event, CallAttempt arrival) {
    if (event instanceof ClaimEvent.Found<A> found) {
      if (found.claim().attemptId().equals(arrival.attemptId())) {
        return step(Phase.HOLDING, new ClaimAction.CheckDeadline<>());
      }
      return prepend(
          answerFor(found, arrival), new ClaimAction.ReleaseUpstream<>(), new ClaimAction.Remove<>());
    }
    // The create may still take effect: sending now could follow or precede another's send.
    RunState runState = event instanceof ClaimEvent.Absent ? RunState.NO : RunState.UNKNOWN;
    return step(
        Phase.DONE,
        new ClaimAction.ReleaseUpstream<>(),
        new ClaimAction.Remove<>(),
        storeUnavailable(runState, "the store did not confirm the claim; nothing was sent"));
  }

  private ClaimStep<A> afterHold(CallAttempt arrival, long now) {
    if (now - arrival.deadlineNanoseconds() >= 0) {
      return step(
          Phase.DONE,
          new ClaimAction.ReleaseUpstream<>(),
          new ClaimAction.Remove<>(),
          new ClaimAction.Refuse<>(
              ErrorKind.DEADLINE_UNREACHABLE,
              RunState.NO,
              "the deadline passed before the call was sent"));
    }
    return step(Phase.SENDING, new ClaimAction.Send<>());
  }

  private ClaimStep<A> afterSend(ClaimEvent<A> event, CallAttempt arrival) {
    if (event instanceof ClaimEvent.Answered<A> answered) {
      return replyAndRecord(answered.answer());
    }
    if (!(event instanceof ClaimEvent.SendFailed<A> failed)) {
      throw unexpected(ClaimState.in(Phase.SENDING), event);
    }
    if (failed.runState() == RunState.NO) {
      return step(Phase.REACQUIRING, new ClaimAction.Reacquire<>());
    }
    if (arrival.outcomeQueryable()) {
      return new ClaimStep<>(
          new ClaimState<>(Phase.QUERYING_OWN_OUTCOME, Optional.empty(), Optional.of(failed.error())),
          List.of(new ClaimAction.QueryService<>()));
    }
    return refuseAndRecordLost(failed.error());
  }

  private ClaimStep<A> afterReacquire(ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.AcquireFailed<A> failed) {
      return step(
          Phase.DONE, new ClaimAction.Remove<>(), new ClaimAction.RefuseWithError<>(failed.error()));
    }
    return step(Phase.HOLDING, new ClaimAction.CheckDeadline<>());
  }

  private ClaimStep<A> afterAskForOwn(ClaimState<A> state, ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.OutcomeReceived<A> learnt) {
      return replyAndRecord(learnt.answer());
    }
    return refuseAndRecordLost(state.error().orElseThrow());
  }

  private ClaimStep<A> afterAskForFound(ClaimState<A> state, ClaimEvent<A> event) {
    Claim<A> found = state.found().orElseThrow();
    if (event instanceof ClaimEvent.OutcomeReceived<A> learnt) {
      return step(
          Phase.DONE,
          new ClaimAction.RecordForOther<>(found, learnt.answer()),
          new ClaimAction.Reply<>(learnt.answer()));
    }
    return refuseUnknown();
  }

  private ClaimStep<A> afterClear(ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.Removed) {
      return step(Phase.READING, new ClaimAction.Read<>());
    }
    return refuse(
        ErrorKind.STORE_UNAVAILABLE,
        RunState.NO,
        "an earlier arrival of the call was not run and its claim cannot be removed yet");
  }

  /**
   * Answers an arrival whose own claim is being removed. It must not go on: a later claim under the
   * same attempt would be removed while it is sent for.
   */
  private ClaimStep<A> answerFor(ClaimEvent.Found<A> found, CallAttempt arrival) {
    boolean same = found.claim().bodyHash().equals(arrival.bodyHash());
    if (same && found.claim().outcome().isEmpty()) {
      return inProgress();
    }
    return judge(found, arrival, arrival.joinUntilNanoseconds());
  }

  private ClaimStep<A> judge(ClaimEvent.Found<A> found, CallAttempt arrival, long now) {
    Claim<A> claim = found.claim();
    if (!claim.bodyHash().equals(arrival.bodyHash())) {
      return refuse(
          ErrorKind.KEY_REUSED, RunState.NO, "the key was used before with another request");
    }
    if (claim.outcome().isPresent()) {
      return claim
          .outcome()
          .get()
          .answer()
          .map(answer -> step(Phase.DONE, new ClaimAction.Reply<>(answer)))
          .orElseGet(() -> askOrRefuse(claim, arrival));
    }
    if (found.holderState() == HolderState.ABANDONED) {
      return step(Phase.REMOVING_ABANDONED, new ClaimAction.RemoveFound<>(claim));
    }
    if (now - arrival.joinUntilNanoseconds() < 0) {
      return step(Phase.WAITING, new ClaimAction.PollLater<>());
    }
    if (found.holderState() == HolderState.GONE) {
      return askOrRefuse(claim, arrival);
    }
    return inProgress();
  }

  private ClaimStep<A> inProgress() {
    return refuse(
        ErrorKind.KEY_IN_PROGRESS, RunState.UNKNOWN, "a call with the same key is running");
  }

  private ClaimStep<A> askOrRefuse(Claim<A> claim, CallAttempt arrival) {
    if (!arrival.outcomeQueryable()) {
      return refuseUnknown();
    }
    return new ClaimStep<>(
        new ClaimState<>(Phase.QUERYING_FOUND_OUTCOME, Optional.of(claim), Optional.empty()),
        List.of(new ClaimAction.QueryService<>()));
  }

  private ClaimStep<A> refuseUnknown() {
    return refuse(
        ErrorKind.OUTCOME_UNKNOWN,
        RunState.UNKNOWN,
        "the call was started and its outcome is lost; it will not be run again");
  }

  private ClaimStep<A> replyAndRecord(A answer) {
    return step(
        Phase.RECORDING,
        new ClaimAction.Reply<>(answer),
        new ClaimAction.Record<>(new Claim.Outcome<>(Optional.of(answer))));
  }

  private ClaimStep<A> refuseAndRecordLost(Throwable error) {
    return step(
        Phase.RECORDING,
        new ClaimAction.RefuseWithError<>(error),
        new ClaimAction.Record<>(new Claim.Outcome<>(Optional.empty())));
  }

  private ClaimStep<A> refuse(ErrorKind kind, RunState runState, String reason) {
    return step(Phase.DONE, new ClaimAction.Refuse<>(kind, runState, reason));
  }

  private ClaimAction<A> storeUnavailable(RunState runState, String reason) {
    return new ClaimAction.Refuse<>(ErrorKind.STORE_UNAVAILABLE, runState, reason);
  }

  @SafeVarargs
  private ClaimStep<A> step(Phase phase, ClaimAction<A>... actions) {
    return new ClaimStep<>(ClaimState.in(phase), List.of(actions));
  }

  @SafeVarargs
  private ClaimStep<A> prepend(ClaimStep<A> step, ClaimAction<A>... first) {
    List<ClaimAction<A>> actions = new ArrayList<>(List.of(first));
    actions.addAll(step.actions());
    return new ClaimStep<>(step.state(), actions);
  }

  private IllegalStateException unexpected(ClaimState<A> state, ClaimEvent<A> event) {
    return new IllegalStateException("event " + event + " in phase " + state.phase());
  }
}
