package org.agatefield.forwarding;

import java.util.Optional;
import java.util.Set;

/** The next action of the owner of a {@link ForwardedRequest}. */
public sealed interface RequestAction {
  /** Actions that are the last ones of a request. */
  sealed interface Final extends RequestAction {}

  /** Choose a runner, avoiding the excluded ones if there are others. Immutable. */
  record Choose(Set<String> excluded) implements RequestAction {}

  /**
   * Send the request to a runner. Immutable.
   *
   * @param attempt identifies the attempt in later events
   * @param resumeAfter the event after which the stream resumes; empty for a complete run
   */
  record Send(int attempt, String runner, Optional<String> resumeAfter) implements RequestAction {}

  /** Cancel an attempt; anything the runner still sends for it is dropped. Immutable. */
  record Cancel(int attempt) implements RequestAction {}

  /** Deliver the runner's answer, success or failure, unchanged. Immutable. */
  record Deliver(int attempt) implements Final {}

  /** Deliver the head of a stream and its first event. Immutable. */
  record BeginStream(int attempt) implements RequestAction {}

  /** Deliver another event. Immutable. */
  record ContinueStream(int attempt) implements RequestAction {}

  /** End the stream as complete. Immutable. */
  record EndStream(int attempt) implements Final {}

  /** Abort the stream so that the caller can tell that it is incomplete. Immutable. */
  record AbortStream(AbortReason reason) implements Final {}

  /** Answer that the request has not run and will not run. Immutable. */
  record Refuse(RefusalReason reason) implements Final {}

  /** Answer that the request failed and may have run. Immutable. */
  record Fail(FailureReason reason) implements Final {}

  /** Discard the request because its caller disconnected or cancelled it. Immutable. */
  record Discard() implements Final {}
}
