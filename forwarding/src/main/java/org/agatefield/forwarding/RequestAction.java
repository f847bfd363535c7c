package org.agatefield.forwarding;

import java.util.Optional;
import java.util.Set;

/** What the holder of a {@link ForwardedRequest} is to do next. */
public sealed interface RequestAction {
  /** Actions after which nothing more happens to the request. */
  sealed interface Final extends RequestAction {}

  /** Look for a runner, other than the excluded ones if there is a choice. Immutable. */
  record Choose(Set<String> excluded) implements RequestAction {}

  /**
   * Send the request to a runner. Immutable.
   *
   * @param attempt names the attempt in later events
   * @param resumeAfter the event after which the stream goes on; empty for a whole run
   */
  record Send(int attempt, String runner, Optional<String> resumeAfter) implements RequestAction {}

  /** Make a runner stop; what it still answers is dropped. Immutable. */
  record Cancel(int attempt) implements RequestAction {}

  /** Deliver an answer, success or failure, as the runner gave it. Immutable. */
  record Deliver(int attempt) implements Final {}

  /** Deliver the head of a stream and its first event. Immutable. */
  record BeginStream(int attempt) implements RequestAction {}

  /** Deliver a further event. Immutable. */
  record ContinueStream(int attempt) implements RequestAction {}

  /** End the stream as complete. Immutable. */
  record EndStream(int attempt) implements Final {}

  /** Break the stream off so that the caller sees that it is not complete. Immutable. */
  record AbortStream() implements Final {}

  /** Answer that the request has not run and never will. Immutable. */
  record Refuse(RefusalReason reason) implements Final {}

  /** Answer that the request failed and may have run. Immutable. */
  record Fail(FailureReason reason) implements Final {}

  /** Forget the request, since its caller has left. Immutable. */
  record Discard() implements Final {}
}
