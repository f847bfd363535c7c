package org.agatefield.idempotency;

import static org.agatefield.idempotency.ClaimState.Phase;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatefield.idempotency.ClaimEvent.HolderState;
import org.agatefield.model.ErrorKind;
import org.agatefield.model.RunState;

/**
 * Decides the next actions of an attempt to execute a call that must run at most once.
 *
 * <p>The claim is stored before the call is sent; only the process that wrote the claim sends the
 * call, and at most once. Invariants:
 *
 * <ul>
 *   <li>{@link ClaimAction.Send} is returned only in {@link Phase#HOLDING}. That phase is entered
 *       only when the store is known to contain the own claim, in an era before which the key was
 *       not used, and entered again only on proof that nothing was sent.
 *   <li>{@link ClaimAction.Remove} is returned after {@link ClaimAction.Send} only on proof that
 *       nothing was sent. After it the attempt neither creates a claim nor sends the call.
 *   <li>A refusal with {@link RunState#NO} means that at some moment after this attempt started no
 *       attempt with the key had been sent, and that this attempt never will be.
 * </ul>
 *
 * <p>Stateless and thread-safe.
 *
 * @param <A> the answer
 */
public final class ClaimProtocol<A> {
  /** Returns the first step. */
  public ClaimStep<A> begin() {
    return step(Phase.READING, new ClaimAction.Read<>());
  }

  /**
   * Returns the step that follows an event.
   *
   * @throws IllegalStateException if the event cannot happen in the state
   */
  public ClaimStep<A> next(
      ClaimState<A> state, ClaimEvent<A> event, CallAttempt attempt, long nowNanoseconds) {
    return switch (state.phase()) {
      case READING -> afterRead(event, attempt, nowNanoseconds);
      case ACQUIRING -> afterAcquire(event);
      case CREATING -> afterCreate(event, attempt);
      case READING_BACK -> afterReadBack(event, attempt);
      case HOLDING -> afterDeadlineCheckDue(attempt, nowNanoseconds);
      case SENDING -> afterSend(event, attempt);
      case REACQUIRING -> afterReacquire(event);
      case QUERYING_OWN_OUTCOME -> afterOwnOutcomeQuery(state, event);
      case QUERYING_FOUND_OUTCOME -> afterFoundOutcomeQuery(state, event);
      case QUERYING_FORGOTTEN_OUTCOME -> afterForgottenOutcomeQuery(event);
      case REMOVING_ABANDONED -> afterRemoveFound(event);
      case WAITING -> step(Phase.READING, new ClaimAction.Read<>());
      case RECORDING -> step(Phase.DONE);
      case DONE -> throw unexpected(state, event);
    };
  }

  private ClaimStep<A> afterRead(ClaimEvent<A> event, CallAttempt attempt, long now) {
    if (event instanceof ClaimEvent.Absent<A> absent) {
      return absent.conclusive()
          ? step(Phase.ACQUIRING, new ClaimAction.Acquire<>())
          : queryOrRefuseForgotten(attempt);
    }
    if (event instanceof ClaimEvent.Found<A> found) {
      return afterFound(found, attempt, now);
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

  private ClaimStep<A> afterCreate(ClaimEvent<A> event, CallAttempt attempt) {
    if (event instanceof ClaimEvent.Created<A> created) {
      return afterClaimed(created.conclusive(), attempt);
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

  /** Continues with the own claim in the store, which is the only one unless history was lost. */
  private ClaimStep<A> afterClaimed(boolean conclusive, CallAttempt attempt) {
    if (conclusive) {
      return step(Phase.HOLDING, new ClaimAction.CheckDeadline<>());
    }
    return prepend(
        queryOrRefuseForgotten(attempt),
        new ClaimAction.ReleaseUpstream<>(),
        new ClaimAction.Remove<>());
  }

  private ClaimStep<A> afterReadBack(ClaimEvent<A> event, CallAttempt attempt) {
    if (event instanceof ClaimEvent.Found<A> found) {
      if (found.claim().attemptId().equals(attempt.attemptId())) {
        return afterClaimed(found.conclusive(), attempt);
      }
      return prepend(
          endAfterRemoval(found, attempt),
          new ClaimAction.ReleaseUpstream<>(),
          new ClaimAction.Remove<>());
    }
    // The create may still take effect; sending now could duplicate the send of another attempt.
    boolean absent = event instanceof ClaimEvent.Absent<A> found && found.conclusive();
    RunState runState = absent ? RunState.NO : RunState.UNKNOWN;
    return step(
        Phase.DONE,
        new ClaimAction.ReleaseUpstream<>(),
        new ClaimAction.Remove<>(),
        storeUnavailable(runState, "the store did not confirm the claim; nothing was sent"));
  }

  private ClaimStep<A> afterDeadlineCheckDue(CallAttempt attempt, long now) {
    if (now - attempt.deadlineNanoseconds() >= 0) {
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

  private ClaimStep<A> afterSend(ClaimEvent<A> event, CallAttempt attempt) {
    if (event instanceof ClaimEvent.Answered<A> answered) {
      return replyAndRecord(answered.answer());
    }
    if (!(event instanceof ClaimEvent.SendFailed<A> failed)) {
      throw unexpected(ClaimState.in(Phase.SENDING), event);
    }
    if (failed.runState() == RunState.NO) {
      return step(Phase.REACQUIRING, new ClaimAction.Reacquire<>());
    }
    if (attempt.outcomeQueryable()) {
      return new ClaimStep<>(
          new ClaimState<>(
              Phase.QUERYING_OWN_OUTCOME, Optional.empty(), Optional.of(failed.error())),
          List.of(new ClaimAction.QueryService<>()));
    }
    return refuseAndRecordLost(failed.error());
  }

  private ClaimStep<A> afterReacquire(ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.AcquireFailed<A> failed) {
      return step(
          Phase.DONE,
          new ClaimAction.Remove<>(),
          new ClaimAction.RefuseWithError<>(failed.error()));
    }
    return step(Phase.HOLDING, new ClaimAction.CheckDeadline<>());
  }

  private ClaimStep<A> afterOwnOutcomeQuery(ClaimState<A> state, ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.OutcomeReceived<A> received) {
      return replyAndRecord(received.answer());
    }
    return refuseAndRecordLost(state.error().orElseThrow());
  }

  private ClaimStep<A> afterFoundOutcomeQuery(ClaimState<A> state, ClaimEvent<A> event) {
    Claim<A> found = state.found().orElseThrow();
    if (event instanceof ClaimEvent.OutcomeReceived<A> received) {
      return step(
          Phase.DONE,
          new ClaimAction.RecordForOther<>(found, received.answer()),
          new ClaimAction.Reply<>(received.answer()));
    }
    return refuseUnknown();
  }

  private ClaimStep<A> afterForgottenOutcomeQuery(ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.OutcomeReceived<A> received) {
      return step(Phase.DONE, new ClaimAction.Reply<>(received.answer()));
    }
    return refuseForgotten();
  }

  private ClaimStep<A> afterRemoveFound(ClaimEvent<A> event) {
    if (event instanceof ClaimEvent.Removed) {
      return step(Phase.READING, new ClaimAction.Read<>());
    }
    return refuse(
        ErrorKind.STORE_UNAVAILABLE,
        RunState.NO,
        "an earlier arrival of the call was not run and its claim cannot be removed yet");
  }

  /**
   * Ends an attempt whose own claim is being removed. The attempt must not continue: a claim that
   * it created later would be removed although the call is sent for it.
   */
  private ClaimStep<A> endAfterRemoval(ClaimEvent.Found<A> found, CallAttempt attempt) {
    boolean same = found.claim().bodyHash().equals(attempt.bodyHash());
    if (same && found.claim().outcome().isEmpty()) {
      return refuseInProgress();
    }
    return afterFound(found, attempt, attempt.joinUntilNanoseconds());
  }

  private ClaimStep<A> afterFound(ClaimEvent.Found<A> found, CallAttempt attempt, long now) {
    Claim<A> claim = found.claim();
    if (!claim.bodyHash().equals(attempt.bodyHash())) {
      return refuse(
          ErrorKind.KEY_REUSED, RunState.NO, "the key was used before with another request");
    }
    if (claim.outcome().isPresent()) {
      return claim
          .outcome()
          .get()
          .answer()
          .map(answer -> step(Phase.DONE, new ClaimAction.Reply<>(answer)))
          .orElseGet(() -> queryOrRefuse(claim, attempt));
    }
    if (found.holderState() == HolderState.ABANDONED && !found.conclusive()) {
      return queryOrRefuseForgotten(attempt);
    }
    if (found.holderState() == HolderState.ABANDONED) {
      return step(Phase.REMOVING_ABANDONED, new ClaimAction.RemoveFound<>(claim));
    }
    if (now - attempt.joinUntilNanoseconds() < 0) {
      return step(Phase.WAITING, new ClaimAction.PollLater<>());
    }
    if (found.holderState() == HolderState.GONE) {
      return queryOrRefuse(claim, attempt);
    }
    return refuseInProgress();
  }

  private ClaimStep<A> refuseInProgress() {
    return refuse(
        ErrorKind.KEY_IN_PROGRESS, RunState.UNKNOWN, "a call with the same key is running");
  }

  private ClaimStep<A> queryOrRefuse(Claim<A> claim, CallAttempt attempt) {
    if (!attempt.outcomeQueryable()) {
      return refuseUnknown();
    }
    return new ClaimStep<>(
        new ClaimState<>(Phase.QUERYING_FOUND_OUTCOME, Optional.of(claim), Optional.empty()),
        List.of(new ClaimAction.QueryService<>()));
  }

  private ClaimStep<A> queryOrRefuseForgotten(CallAttempt attempt) {
    return attempt.outcomeQueryable()
        ? step(Phase.QUERYING_FORGOTTEN_OUTCOME, new ClaimAction.QueryService<>())
        : refuseForgotten();
  }

  private ClaimStep<A> refuseForgotten() {
    return refuse(
        ErrorKind.OUTCOME_UNKNOWN,
        RunState.UNKNOWN,
        "the store has lost its latest history; the call may have run and will not be run again");
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
