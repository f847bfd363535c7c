package org.agatefield.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class ForwardedRequestTest {
  /**
   * The next event from a runner, the caller or the clock, for the current or the previous attempt.
   */
  enum Step {
    CHOSEN,
    NOT_CHOSEN,
    CONNECT_FAILED,
    REJECTED,
    FAILED,
    FAILED_DELIVERABLE,
    STALLED,
    ANSWERED,
    EVENT,
    COMMENT,
    ENDED,
    LATE_ANSWER,
    LATE_EVENT,
    LATE_FAILURE,
    EXPIRED,
    FORBIDDEN,
    INTERNAL_ERROR,
    CALLER_GONE
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Arbitraries.of(Step.class).list().ofMinSize(1).ofMaxSize(40);
  }

  @Property(tries = 30_000, seed = "4711")
  void everyOrderOfEventsKeepsTheInvariants(
      @ForAll RetryMode retryMode,
      @ForAll("steps") List<Step> steps,
      @ForAll("attempts") int maximumAttempts,
      @ForAll boolean allowed) {
    ForwardedRequest request =
        new ForwardedRequest(retryMode, maximumAttempts, Optional.empty(), () -> allowed);
    Trace trace = new Trace(retryMode, maximumAttempts);
    trace.observe(request.start());
    for (Step step : steps) {
      trace.observe(apply(request, step, trace), step);
    }
  }

  @Provide
  Arbitrary<Integer> attempts() {
    return Arbitraries.integers().between(1, 3);
  }

  private static List<RequestAction> apply(ForwardedRequest request, Step step, Trace trace) {
    int open = trace.attempt;
    int over = trace.attempt - 1;
    return switch (step) {
      case CHOSEN -> request.chosen("runner-" + trace.attempt);
      case NOT_CHOSEN -> request.notChosen(RefusalReason.OVERLOADED);
      case CONNECT_FAILED -> request.connectFailed(open);
      case REJECTED -> request.rejected(open);
      case FAILED -> request.failed(open, false);
      case FAILED_DELIVERABLE -> request.failed(open, true);
      case STALLED -> request.stalled(open);
      case ANSWERED -> request.answered(open);
      case EVENT -> request.event(open, Optional.of("e" + trace.events));
      case COMMENT -> request.comment(open);
      case ENDED -> request.ended(open);
      case LATE_ANSWER -> request.answered(over);
      case LATE_EVENT -> request.event(over, Optional.of("late"));
      case LATE_FAILURE -> request.failed(over, true);
      case EXPIRED -> request.expired();
      case FORBIDDEN -> request.forbidden(RefusalReason.REQUEST_CRASHES_RUNNERS);
      case INTERNAL_ERROR -> request.internalError();
      case CALLER_GONE -> request.callerGone();
    };
  }

  /** Tracks the actions and checks the invariants independently of the implementation. */
  private static final class Trace {
    private final RetryMode retryMode;
    private final int maximumAttempts;
    private final Set<Integer> mayHaveRun = new HashSet<>();
    private int attempt;
    private int events;
    private boolean open;
    private boolean attemptHasEvent;
    private boolean over;
    private boolean streaming;

    Trace(RetryMode retryMode, int maximumAttempts) {
      this.retryMode = retryMode;
      this.maximumAttempts = maximumAttempts;
    }

    void observe(List<RequestAction> actions) {
      observe(actions, Step.CHOSEN);
    }

    void observe(List<RequestAction> actions, Step step) {
      if (!actions.isEmpty() && (step == Step.CONNECT_FAILED || step == Step.REJECTED)) {
        mayHaveRun.remove(attempt);
        open = false;
      }
      if (step == Step.STALLED && !actions.isEmpty()) {
        assertFalse(over, "action after the final action");
        assertInstanceOf(RequestAction.Choose.class, actions.get(0));
        assertEquals(1, actions.size(), "the attempt at a silent runner ended without a successor");
        return;
      }
      for (RequestAction action : actions) {
        assertFalse(over, "action after the final action");
        check(action);
      }
      attemptHasEvent |= step == Step.EVENT && !actions.isEmpty();
      boolean cancelled = actions.stream().anyMatch(RequestAction.Cancel.class::isInstance);
      assertTrue(!cancelled || open || over, "cancelled without a successor or a final action");
    }

    private void check(RequestAction action) {
      if (action instanceof RequestAction.Send send) {
        boolean mayRepeat = retryMode != RetryMode.NEVER;
        assertTrue(mayHaveRun.isEmpty() || mayRepeat, "sent again though it may have run");
        assertFalse(open, "two attempts open at once");
        if (streaming) {
          assertTrue(
              send.resumeAfter().isPresent(), "stream restarted after events were delivered");
        }
        attempt = send.attempt();
        attemptHasEvent = false;
        mayHaveRun.add(attempt);
        assertTrue(mayHaveRun.size() <= maximumAttempts, "more runs than allowed");
        open = true;
      } else if (action instanceof RequestAction.Refuse) {
        assertTrue(mayHaveRun.isEmpty(), "refused as not run though it may have run");
        assertFalse(streaming, "refused after events were delivered");
      } else if (action instanceof RequestAction.BeginStream
          || action instanceof RequestAction.ContinueStream) {
        assertTrue(open, "event delivered for an attempt that is over");
        streaming = true;
        events++;
      } else if (action instanceof RequestAction.EndStream) {
        assertTrue(attemptHasEvent, "stream ended as complete by an attempt without events");
        open = false;
      } else if (action instanceof RequestAction.Deliver) {
        assertFalse(streaming, "complete answer delivered after events");
      } else {
        open = false;
      }
      if (action instanceof RequestAction.Choose || action instanceof RequestAction.Cancel) {
        open = false;
      }
      over = action instanceof RequestAction.Final;
    }
  }

  @Test
  void requestThatMustNotRepeatIsNotSentAgainAfterFailure() {
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.NEVER, 2, Optional.empty(), () -> true);
    request.start();
    request.chosen("a");
    List<RequestAction> actions = request.failed(1, false);
    assertEquals(List.of(new RequestAction.Fail(FailureReason.RUNNER_FAILED)), actions);
  }

  @Test
  void rejectedRequestThatMustNotRepeatIsSentToAnotherRunner() {
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.NEVER, 1, Optional.empty(), () -> true);
    request.start();
    request.chosen("a");
    assertEquals(List.of(new RequestAction.Choose(Set.of("a"))), request.rejected(1));
  }

  @Test
  void brokenStreamResumesAfterItsLastEvent() {
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.RESUME, 2, Optional.empty(), () -> true);
    request.start();
    request.chosen("a");
    request.event(1, Optional.of("7"));
    request.failed(1, false);
    RequestAction next = request.chosen("b").get(0);
    assertEquals(new RequestAction.Send(2, "b", Optional.of("7")), next);
  }

  private static ForwardedRequest resumedStream(RetryAllowance allowance) {
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.RESUME, 3, Optional.empty(), allowance);
    request.start();
    request.chosen("a");
    request.event(1, Optional.of("7"));
    request.failed(1, false);
    request.chosen("b");
    return request;
  }

  @Test
  void answerThatIsNoStreamDoesNotContinueStream() {
    assertEquals(
        List.of(new RequestAction.Choose(Set.of("a", "b"))), resumedStream(() -> true).answered(2));
  }

  @Test
  void resumedStreamThatEndsWithoutEventDoesNotEndTheStreamAsComplete() {
    assertEquals(
        List.of(new RequestAction.Choose(Set.of("a", "b"))), resumedStream(() -> true).ended(2));
    ForwardedRequest last = new ForwardedRequest(RetryMode.RESUME, 2, Optional.empty(), () -> true);
    last.start();
    last.chosen("a");
    last.event(1, Optional.of("7"));
    last.failed(1, false);
    last.chosen("b");
    assertEquals(
        List.of(new RequestAction.AbortStream(AbortReason.RETRIES_EXHAUSTED)), last.ended(2));
  }

  @Test
  void streamThatBeganWithCommentWhileReplacementWasSoughtIsNotRestarted() {
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.RESUME, 3, Optional.empty(), () -> true);
    request.start();
    request.chosen("silent");
    request.stalled(1);
    request.comment(1);
    assertEquals(List.of(), request.chosen("other"));
  }

  @Test
  void internalErrorEndsRequestByWhetherItMayHaveRun() {
    ForwardedRequest unsent =
        new ForwardedRequest(RetryMode.RESTART, 3, Optional.empty(), () -> true);
    unsent.start();
    assertEquals(
        List.of(new RequestAction.Refuse(RefusalReason.INTERNAL_ERROR)), unsent.internalError());
    assertEquals(List.of(), unsent.internalError());
    ForwardedRequest sent =
        new ForwardedRequest(RetryMode.RESTART, 3, Optional.empty(), () -> true);
    sent.start();
    sent.chosen("runner");
    assertEquals(
        List.of(new RequestAction.Cancel(1), new RequestAction.Fail(FailureReason.INTERNAL_ERROR)),
        sent.internalError());
    ForwardedRequest streaming =
        new ForwardedRequest(RetryMode.RESUME, 3, Optional.empty(), () -> true);
    streaming.start();
    streaming.chosen("runner");
    streaming.event(1, Optional.of("e1"));
    assertEquals(
        List.of(
            new RequestAction.Cancel(1), new RequestAction.AbortStream(AbortReason.INTERNAL_ERROR)),
        streaming.internalError());
  }

  @Test
  void forbiddenRequestThatWasSentFailsAndOneThatWasNotIsRefused() {
    ForwardedRequest sent = new ForwardedRequest(RetryMode.RESUME, 2, Optional.empty(), () -> true);
    sent.start();
    assertEquals(
        List.of(new RequestAction.Refuse(RefusalReason.REQUEST_CRASHES_RUNNERS)),
        new ForwardedRequest(RetryMode.RESUME, 2, Optional.empty(), () -> true)
            .forbidden(RefusalReason.REQUEST_CRASHES_RUNNERS));
    sent.chosen("a");
    assertEquals(
        List.of(new RequestAction.Cancel(1), new RequestAction.Fail(FailureReason.RUNNER_FAILED)),
        sent.forbidden(RefusalReason.REQUEST_CRASHES_RUNNERS));
  }

  private static ForwardedRequest silentStream(RetryAllowance allowance) {
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.RESUME, 2, Optional.empty(), allowance);
    request.start();
    request.chosen("a");
    request.event(1, Optional.of("7"));
    assertEquals(List.of(new RequestAction.Choose(Set.of("a"))), request.stalled(1));
    return request;
  }

  @Test
  void silentRunnerIsReplacedInOneStepOnceAnotherOneIsChosen() {
    assertEquals(
        List.of(new RequestAction.Cancel(1), new RequestAction.Send(2, "b", Optional.of("7"))),
        silentStream(() -> true).chosen("b"));
  }

  @Test
  void streamOfSilentRunnerContinuesWithoutRetryBudgetOrOtherRunner() {
    ForwardedRequest withoutBudget = silentStream(() -> false);
    assertEquals(List.of(), withoutBudget.chosen("b"));
    assertEquals(
        List.of(new RequestAction.ContinueStream(1)), withoutBudget.event(1, Optional.of("8")));
    ForwardedRequest withoutRunner = silentStream(() -> true);
    assertEquals(List.of(), withoutRunner.notChosen(RefusalReason.OVERLOADED));
    assertEquals(List.of(new RequestAction.EndStream(1)), withoutRunner.ended(1));
  }

  @Test
  void silentRunnerIsNotReplacedWhileTheRetryBudgetIsEmpty() {
    RetryAllowance empty =
        new RetryAllowance() {
          @Override
          public boolean tryTake() {
            return false;
          }

          @Override
          public boolean isAvailable() {
            return false;
          }
        };
    ForwardedRequest request = new ForwardedRequest(RetryMode.RESTART, 2, Optional.empty(), empty);
    request.start();
    request.chosen("a");
    assertEquals(List.of(), request.stalled(1));
    assertFalse(request.seeksRunner());
  }

  @Test
  void commentsOfSilentRunnerDoNotEndTheSearchForAnotherOne() {
    ForwardedRequest request = silentStream(() -> true);
    assertEquals(List.of(new RequestAction.ContinueStream(1)), request.comment(1));
    assertTrue(request.isReplacing());
  }

  @Test
  void runnerThatSendsAgainIsNotReplaced() {
    ForwardedRequest request = silentStream(() -> true);
    request.event(1, Optional.of("8"));
    assertEquals(List.of(), request.chosen("b"));
    assertEquals(List.of(new RequestAction.EndStream(1)), request.ended(1));
  }

  @Test
  void streamThatCannotResumeIsAbortedInsteadOfEnded() {
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.NEVER, 1, Optional.empty(), () -> true);
    request.start();
    request.chosen("a");
    request.event(1, Optional.of("7"));
    assertInstanceOf(RequestAction.AbortStream.class, request.failed(1, false).get(0));
  }

  @Test
  void expiredRequestThatWasNeverSentIsRefusedAsNotRun() {
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.NEVER, 1, Optional.empty(), () -> true);
    request.start();
    assertEquals(List.of(new RequestAction.Refuse(RefusalReason.DEADLINE)), request.expired());
  }

  @Test
  void rejectedRequestIsRefusedIfTheRetryBudgetIsExhausted() {
    List<RequestAction> actions = new ArrayList<>();
    ForwardedRequest request =
        new ForwardedRequest(RetryMode.RESTART, 2, Optional.empty(), () -> false);
    request.start();
    request.chosen("a");
    actions.addAll(request.rejected(1));
    assertEquals(List.of(new RequestAction.Refuse(RefusalReason.RETRY_BUDGET)), actions);
  }
}
