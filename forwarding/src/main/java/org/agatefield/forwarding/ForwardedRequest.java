package org.agatefield.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The state machine of one request that is forwarded to runners, from its arrival to its final
 * answer.
 *
 * <p>Receives events and returns the actions to take. Invariants for any order of events:
 *
 * <ul>
 *   <li>there is at most one final action, it is the last action, and only a cancellation may
 *       precede it in the same list;
 *   <li>a request that must not be repeated is sent again only after proof that no previous attempt
 *       ran;
 *   <li>{@link RequestAction.Refuse} is returned only if no attempt may have run;
 *   <li>at most {@code maximumAttempts} attempts may have run, and at most one is open at a time;
 *   <li>an attempt whose runner is silent is cancelled only together with the send that replaces
 *       it;
 *   <li>a stream ends as complete only with an attempt that added an event to it;
 *   <li>events of attempts that are over have no effect.
 * </ul>
 *
 * <p>Not thread safe.
 */
public final class ForwardedRequest {
  // Rejections are cheap, but each costs a round trip.
  private static final int MAXIMUM_SENDS = 6;

  private final RetryMode retryMode;
  private final int maximumAttempts;
  private final RetryAllowance allowance;
  private final Set<String> triedRunners = new HashSet<>();
  private Optional<String> resumeAfter;
  private Phase phase = Phase.CHOOSING;
  private String runner = "";
  private int attempt;
  private int sends;
  private int possibleRuns;
  private boolean streaming;
  private boolean attemptHasEvent;
  private boolean replacing;
  private boolean nextSendRepeats;

  private enum Phase {
    CHOOSING,
    OPEN,
    OVER
  }

  /**
   * Creates a request that has not started.
   *
   * @param lastEventId the event after which the caller wants the stream to resume
   */
  public ForwardedRequest(
      RetryMode retryMode,
      int maximumAttempts,
      Optional<String> lastEventId,
      RetryAllowance allowance) {
    this.retryMode = retryMode;
    this.maximumAttempts = Math.max(1, maximumAttempts);
    this.resumeAfter = lastEventId;
    this.allowance = allowance;
  }

  /** Starts the request. */
  public List<RequestAction> start() {
    return List.of(choose());
  }

  /** Handles the choice of a runner; cancels the open attempt that the new one replaces. */
  public List<RequestAction> chosen(String chosenRunner) {
    if (phase == Phase.CHOOSING) {
      return List.of(send(chosenRunner));
    }
    if (!replacing) {
      return List.of();
    }
    replacing = false;
    if (chosenRunner.equals(runner) || cannotResume() || !tryRunAgain()) {
      return List.of();
    }
    int replaced = attempt;
    possibleRuns++;
    triedRunners.add(runner);
    return List.of(new RequestAction.Cancel(replaced), send(chosenRunner));
  }

  private RequestAction send(String chosenRunner) {
    phase = Phase.OPEN;
    replacing = false;
    runner = chosenRunner;
    attempt++;
    attemptHasEvent = false;
    sends++;
    return new RequestAction.Send(attempt, chosenRunner, resumeAfter);
  }

  /** Handles the case that no runner can take the request; an open attempt continues. */
  public List<RequestAction> notChosen(RefusalReason reason) {
    replacing = false;
    return phase == Phase.CHOOSING ? refuseOrFail(reason) : List.of();
  }

  /** Handles a failed connection to the runner; no byte of the request was sent. */
  public List<RequestAction> connectFailed(int eventAttempt) {
    if (!isOpen(eventAttempt)) {
      return List.of();
    }
    triedRunners.add(runner);
    if (cannotResume()) {
      return finish(new RequestAction.AbortStream(AbortReason.NOT_RESUMABLE));
    }
    return sends < MAXIMUM_SENDS ? List.of(choose()) : refuseOrFail(RefusalReason.NO_RUNNER);
  }

  /** Handles proof by the runner that it did not and will not run this attempt. */
  public List<RequestAction> rejected(int eventAttempt) {
    if (!isOpen(eventAttempt)) {
      return List.of();
    }
    triedRunners.add(runner);
    if (cannotResume()) {
      return finish(new RequestAction.AbortStream(AbortReason.NOT_RESUMABLE));
    }
    if (sends >= MAXIMUM_SENDS) {
      return refuseOrFail(RefusalReason.OVERLOADED);
    }
    return allowance.tryTake() ? List.of(choose()) : refuseOrFail(RefusalReason.RETRY_BUDGET);
  }

  /**
   * Handles the failure of an attempt that may have run.
   *
   * @param deliverable whether there is an answer that can be passed on unchanged
   */
  public List<RequestAction> failed(int eventAttempt, boolean deliverable) {
    if (!isOpen(eventAttempt)) {
      return List.of();
    }
    possibleRuns++;
    triedRunners.add(runner);
    if (streaming) {
      return resumeOrAbort();
    }
    if (retryMode != RetryMode.NEVER && tryRunAgain()) {
      return List.of(choose());
    }
    if (deliverable) {
      return finish(new RequestAction.Deliver(eventAttempt));
    }
    return finish(new RequestAction.Fail(FailureReason.RUNNER_FAILED));
  }

  /**
   * Handles a runner that has sent nothing for too long; looks for a runner that can replace it.
   * The attempt stays open until one is chosen, since a runner may fall silent and then continue.
   */
  public List<RequestAction> stalled(int eventAttempt) {
    boolean mayBeReplaced = canRunAgain() && sends < MAXIMUM_SENDS && allowance.isAvailable();
    if (!isOpen(eventAttempt) || replacing || !mayBeReplaced) {
      return List.of();
    }
    replacing = true;
    Set<String> avoided = new HashSet<>(triedRunners);
    avoided.add(runner);
    return List.of(new RequestAction.Choose(Set.copyOf(avoided)));
  }

  /** Handles a complete answer that is to be passed on; it cannot continue a stream. */
  public List<RequestAction> answered(int eventAttempt) {
    if (!isOpen(eventAttempt)) {
      return List.of();
    }
    if (streaming) {
      return failed(eventAttempt, false);
    }
    return finish(new RequestAction.Deliver(eventAttempt));
  }

  /** Handles a complete event of a stream. */
  public List<RequestAction> event(int eventAttempt, Optional<String> eventId) {
    if (!isOpen(eventAttempt)) {
      return List.of();
    }
    attemptHasEvent = true;
    replacing = false;
    eventId.ifPresent(id -> resumeAfter = Optional.of(id));
    return deliver(eventAttempt);
  }

  /** Handles comments of a stream, which are passed on but are no progress. */
  public List<RequestAction> comment(int eventAttempt) {
    return isOpen(eventAttempt) ? deliver(eventAttempt) : List.of();
  }

  private List<RequestAction> deliver(int eventAttempt) {
    if (streaming) {
      return List.of(new RequestAction.ContinueStream(eventAttempt));
    }
    streaming = true;
    return List.of(new RequestAction.BeginStream(eventAttempt));
  }

  /**
   * Handles the end of a stream according to the protocol. An attempt that continues a stream
   * without adding an event does not prove that the stream is complete.
   */
  public List<RequestAction> ended(int eventAttempt) {
    if (!isOpen(eventAttempt)) {
      return List.of();
    }
    if (streaming && !attemptHasEvent) {
      return failed(eventAttempt, false);
    }
    return finish(
        streaming
            ? new RequestAction.EndStream(eventAttempt)
            : new RequestAction.Deliver(eventAttempt));
  }

  /** Handles the expiry of the deadline or of the route's timeout. */
  public List<RequestAction> expired() {
    return end(AbortReason.DEADLINE, FailureReason.DEADLINE, RefusalReason.DEADLINE);
  }

  /** Handles an error in the code that executes the actions. */
  public List<RequestAction> internalError() {
    return end(
        AbortReason.INTERNAL_ERROR, FailureReason.INTERNAL_ERROR, RefusalReason.INTERNAL_ERROR);
  }

  /** Ends the request by whether it is streaming or may have run; cancels an open attempt. */
  private List<RequestAction> end(
      AbortReason abortReason, FailureReason failureReason, RefusalReason refusalReason) {
    if (phase == Phase.OVER) {
      return List.of();
    }
    List<RequestAction> actions = new ArrayList<>();
    if (phase == Phase.OPEN) {
      possibleRuns++;
      actions.add(new RequestAction.Cancel(attempt));
    }
    if (streaming) {
      actions.addAll(finish(new RequestAction.AbortStream(abortReason)));
    } else if (possibleRuns > 0) {
      actions.addAll(finish(new RequestAction.Fail(failureReason)));
    } else {
      actions.addAll(finish(new RequestAction.Refuse(refusalReason)));
    }
    return actions;
  }

  /**
   * Handles that no runner may execute the request any more; cancels an open attempt. A stream that
   * has begun continues.
   */
  public List<RequestAction> forbidden(RefusalReason reason) {
    if (phase == Phase.OVER || streaming) {
      return List.of();
    }
    List<RequestAction> actions = new ArrayList<>();
    if (phase == Phase.OPEN) {
      possibleRuns++;
      actions.add(new RequestAction.Cancel(attempt));
    }
    actions.addAll(refuseOrFail(reason));
    return actions;
  }

  /** Handles a caller that closed its connection or cancelled the request. */
  public List<RequestAction> callerGone() {
    if (phase == Phase.OVER) {
      return List.of();
    }
    List<RequestAction> actions = new ArrayList<>();
    if (phase == Phase.OPEN) {
      actions.add(new RequestAction.Cancel(attempt));
    }
    actions.addAll(finish(new RequestAction.Discard()));
    return actions;
  }

  /** Returns whether the final action has been returned. */
  public boolean isOver() {
    return phase == Phase.OVER;
  }

  /** Returns whether the request needs a runner, for its first send or for another one. */
  public boolean seeksRunner() {
    return phase == Phase.CHOOSING || replacing;
  }

  /** Returns whether a runner is sought only to replace one that is silent. */
  public boolean isReplacing() {
    return replacing;
  }

  /** Returns whether an attempt is open or may have run. */
  public boolean mayHaveRun() {
    return possibleRuns > 0 || phase == Phase.OPEN;
  }

  /** Returns whether the next send repeats an attempt that may have run. */
  public boolean nextSendIsRepeat() {
    return nextSendRepeats;
  }

  private boolean isOpen(int eventAttempt) {
    return phase == Phase.OPEN && eventAttempt == attempt;
  }

  private RequestAction choose() {
    phase = Phase.CHOOSING;
    replacing = false;
    return new RequestAction.Choose(Set.copyOf(triedRunners));
  }

  /** Returns whether a stream has begun that cannot go on with another attempt. */
  private boolean cannotResume() {
    return streaming && (retryMode != RetryMode.RESUME || resumeAfter.isEmpty());
  }

  private boolean canRunAgain() {
    if (retryMode == RetryMode.NEVER || possibleRuns + 1 >= maximumAttempts) {
      return false;
    }
    return !cannotResume();
  }

  private boolean tryRunAgain() {
    boolean may = possibleRuns < maximumAttempts && sends < MAXIMUM_SENDS && allowance.tryTake();
    nextSendRepeats |= may;
    return may;
  }

  private List<RequestAction> resumeOrAbort() {
    if (cannotResume()) {
      return finish(new RequestAction.AbortStream(AbortReason.NOT_RESUMABLE));
    }
    return tryRunAgain()
        ? List.of(choose())
        : finish(new RequestAction.AbortStream(AbortReason.RETRIES_EXHAUSTED));
  }

  private List<RequestAction> refuseOrFail(RefusalReason reason) {
    if (streaming) {
      return finish(new RequestAction.AbortStream(AbortReason.NO_RUNNER));
    }
    if (possibleRuns > 0) {
      return finish(new RequestAction.Fail(FailureReason.RUNNER_FAILED));
    }
    return finish(new RequestAction.Refuse(reason));
  }

  private List<RequestAction> finish(RequestAction.Final action) {
    phase = Phase.OVER;
    replacing = false;
    return List.of(action);
  }
}
