package org.agatefield.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The life of one request that is passed on to runners, from its arrival to its final answer.
 *
 * <p>Takes events and returns what to do. Invariants over any order of events:
 *
 * <ul>
 *   <li>there is at most one final action, and nothing follows it but a cancellation before it;
 *   <li>a request that must not repeat is sent again only after proof that no attempt before ran;
 *   <li>{@link RequestAction.Refuse} is returned only if no attempt may have run;
 *   <li>at most {@code maximumAttempts} attempts may have run, and at most one is open at a time;
 *   <li>events of attempts that are over change nothing.
 * </ul>
 *
 * <p>Not safe for use by several threads.
 */
public final class ForwardedRequest {
  private static final int MAXIMUM_SENDS = 6; // rejections are cheap, but each costs a round trip

  private final RetryMode retryMode;
  private final int maximumAttempts;
  private final RetryAllowance allowance;
  private final Set<String> tried = new HashSet<>();
  private Optional<String> resumeAfter;
  private Phase phase = Phase.CHOOSING;
  private String runner = "";
  private int attempt;
  private int sends;
  private int possibleRuns;
  private boolean streaming;
  private boolean repeatedRun;

  private enum Phase {
    CHOOSING,
    OPEN,
    OVER
  }

  /**
   * Creates the request in the state that {@link #start()} begins.
   *
   * @param lastEventId the event after which the caller wants the stream to go on
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

  /** Begins. */
  public List<RequestAction> start() {
    return List.of(choose());
  }

  /** A runner was chosen. */
  public List<RequestAction> chosen(String chosenRunner) {
    if (phase != Phase.CHOOSING) {
      return List.of();
    }
    phase = Phase.OPEN;
    runner = chosenRunner;
    attempt++;
    sends++;
    return List.of(new RequestAction.Send(attempt, chosenRunner, resumeAfter));
  }

  /** No runner can take the request. */
  public List<RequestAction> notChosen(RefusalReason reason) {
    return phase == Phase.CHOOSING ? giveUp(reason) : List.of();
  }

  /** The runner could not be reached; no byte of the request was sent. */
  public List<RequestAction> connectFailed(int which) {
    if (!isOpen(which)) {
      return List.of();
    }
    tried.add(runner);
    return sends < MAXIMUM_SENDS ? List.of(choose()) : giveUp(RefusalReason.NO_RUNNER);
  }

  /** The runner proved that it did not and will not run this attempt. */
  public List<RequestAction> rejected(int which) {
    if (!isOpen(which)) {
      return List.of();
    }
    tried.add(runner);
    if (sends >= MAXIMUM_SENDS) {
      return giveUp(RefusalReason.OVERLOADED);
    }
    return allowance.tryTake() ? List.of(choose()) : giveUp(RefusalReason.RETRY_BUDGET);
  }

  /**
   * The attempt failed and may have run.
   *
   * @param deliverable whether there is an answer that can be passed on as it is
   */
  public List<RequestAction> failed(int which, boolean deliverable) {
    if (!isOpen(which)) {
      return List.of();
    }
    possibleRuns++;
    tried.add(runner);
    if (streaming) {
      return resumeOrAbort();
    }
    if (retryMode != RetryMode.NEVER && mayRunAgain()) {
      return List.of(choose());
    }
    if (deliverable) {
      phase = Phase.OVER;
      return List.of(new RequestAction.Deliver(which));
    }
    return finish(new RequestAction.Fail(FailureReason.RUNNER_FAILED));
  }

  /** The runner has been silent for too long; it is told to stop. */
  public List<RequestAction> stalled(int which) {
    if (!isOpen(which) || !canRunAgain()) {
      return List.of();
    }
    List<RequestAction> actions = new ArrayList<>();
    actions.add(new RequestAction.Cancel(which));
    actions.addAll(failed(which, false));
    return actions;
  }

  /** A whole answer came that is to be passed on. */
  public List<RequestAction> answered(int which) {
    if (!isOpen(which) || streaming) {
      return List.of();
    }
    return finish(new RequestAction.Deliver(which));
  }

  /** A whole event of a stream came. */
  public List<RequestAction> event(int which, Optional<String> eventId) {
    if (!isOpen(which)) {
      return List.of();
    }
    eventId.ifPresent(id -> resumeAfter = Optional.of(id));
    if (streaming) {
      return List.of(new RequestAction.ContinueStream(which));
    }
    streaming = true;
    return List.of(new RequestAction.BeginStream(which));
  }

  /** The stream ended as the protocol says. */
  public List<RequestAction> ended(int which) {
    if (!isOpen(which)) {
      return List.of();
    }
    return finish(
        streaming ? new RequestAction.EndStream(which) : new RequestAction.Deliver(which));
  }

  /** The deadline or the route's timeout passed. */
  public List<RequestAction> expired() {
    if (phase == Phase.OVER) {
      return List.of();
    }
    List<RequestAction> actions = new ArrayList<>();
    if (phase == Phase.OPEN) {
      possibleRuns++;
      actions.add(new RequestAction.Cancel(attempt));
    }
    if (streaming) {
      actions.addAll(finish(new RequestAction.AbortStream()));
    } else if (possibleRuns > 0) {
      actions.addAll(finish(new RequestAction.Fail(FailureReason.DEADLINE)));
    } else {
      actions.addAll(finish(new RequestAction.Refuse(RefusalReason.DEADLINE)));
    }
    return actions;
  }

  /** The caller closed its connection or cancelled. */
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

  /** Returns whether an attempt is open or may have run. */
  public boolean mayHaveRun() {
    return possibleRuns > 0 || phase == Phase.OPEN;
  }

  /** Returns whether the next send repeats a run. */
  public boolean nextSendIsRepeat() {
    return repeatedRun;
  }

  private boolean isOpen(int which) {
    return phase == Phase.OPEN && which == attempt;
  }

  private RequestAction choose() {
    phase = Phase.CHOOSING;
    return new RequestAction.Choose(Set.copyOf(tried));
  }

  private boolean canRunAgain() {
    if (retryMode == RetryMode.NEVER || possibleRuns + 1 >= maximumAttempts) {
      return false;
    }
    return !streaming || (retryMode == RetryMode.RESUME && resumeAfter.isPresent());
  }

  private boolean mayRunAgain() {
    boolean may = possibleRuns < maximumAttempts && sends < MAXIMUM_SENDS && allowance.tryTake();
    repeatedRun |= may;
    return may;
  }

  private List<RequestAction> resumeOrAbort() {
    boolean resumable = retryMode == RetryMode.RESUME && resumeAfter.isPresent();
    if (resumable && mayRunAgain()) {
      return List.of(choose());
    }
    return finish(new RequestAction.AbortStream());
  }

  private List<RequestAction> giveUp(RefusalReason reason) {
    if (streaming) {
      return finish(new RequestAction.AbortStream());
    }
    if (possibleRuns > 0) {
      return finish(new RequestAction.Fail(FailureReason.RUNNER_FAILED));
    }
    return finish(new RequestAction.Refuse(reason));
  }

  private List<RequestAction> finish(RequestAction.Final action) {
    phase = Phase.OVER;
    return List.of(action);
  }
}
